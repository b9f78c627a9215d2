/**
 * Brings claims into the key-value service. Each bucket has one preferred writer among the zone's live hosts, so that
 * claims share writes and seldom contend; when that host does not answer, this host writes itself.
 */

import {
    after,
    claimBucketIndex,
    type ClaimChange,
    type ClaimChangeOutcome,
    type HostId,
    type Instant,
    type Problem,
} from "@tamarackpath/core";
import { type Either, Right } from "purify-ts";
import { BucketWriter } from "./BucketWriter.js";
import { type AnswerContext } from "./TicketCalls.js";

const forwardMs = 2000;
const forwardedWriteMs = 1500;

/** Where duties are placed. */
export interface Placement {
    /** The live hosts of the zone in the order in which they should take the duty `key`. */
    ranked(key: string): readonly HostId[];
    /** Number of availability zones that write claims. */
    zones(): number;
}

/** Writes claims, here or through the preferred writer of their bucket. */
export class ClaimStore {
    private readonly writers = new Map<number, BucketWriter>();

    constructor(private readonly ctx: AnswerContext, private readonly placement: Placement) {}

    /** Makes a change; "unconfirmed" when the key-value service does not confirm it by `deadline`. */
    async change(change: ClaimChange, deadline: Instant): Promise<ClaimChangeOutcome> {
        const bucket = claimBucketIndex(change.claim.key);
        const writer = this.placement.ranked(`claims/${bucket}`)[0] ?? this.ctx.host;
        if (writer === this.ctx.host) {
            return await this.writer(bucket).change(change, deadline);
        }
        const askUntil = Math.min(deadline, after(this.ctx.clock.now(), forwardMs)) as Instant;
        const res = await this.ctx.ports.peers.ask(writer, "claim-change", change, askUntil);
        const verdict = res.toMaybe().extract()?.toMaybe().extract();
        return verdict === undefined || verdict.kind === "unconfirmed"
            ? await this.writer(bucket).change(change, deadline)
            : verdict;
    }

    /** Makes a change that another host hands over. */
    async serve(change: ClaimChange): Promise<Either<Problem, ClaimChangeOutcome>> {
        const deadline = after(this.ctx.clock.now(), forwardedWriteMs);
        return Right(await this.writer(claimBucketIndex(change.claim.key)).change(change, deadline));
    }

    private writer(bucket: number): BucketWriter {
        const known = this.writers.get(bucket);
        if (known !== undefined) {
            return known;
        }
        const writer = new BucketWriter(this.ctx, bucket, () => this.placement.zones());
        this.writers.set(bucket, writer);
        return writer;
    }
}
