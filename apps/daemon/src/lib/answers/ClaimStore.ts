/**
 * Stores claims in the key-value service. Each bucket has one preferred writer among the zone's live hosts, so that
 * claims share writes and rarely conflict. When that host does not answer, this host writes the claim itself.
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

const forwardTimeoutMs = 2000;
const forwardedWriteTimeoutMs = 1500;

/** Placement of the writers of claims. */
export interface Placement {
    /** The live hosts of the zone in their order of preference for the role `key`. */
    ranked(key: string): readonly HostId[];
    /** Number of availability zones that write claims. */
    zones(): number;
}

/** Writes claims, here or through the preferred writer of their bucket. */
export class ClaimStore {
    private readonly writers = new Map<number, BucketWriter>();

    constructor(private readonly ctx: AnswerContext, private readonly placement: Placement) {}

    /** Applies a change; "unconfirmed" when the key-value service does not confirm it before `deadline`. */
    async change(change: ClaimChange, deadline: Instant): Promise<ClaimChangeOutcome> {
        const bucket = claimBucketIndex(change.claim.key);
        const writer = this.placement.ranked(`claims/${bucket}`)[0] ?? this.ctx.host;
        if (writer === this.ctx.host) {
            return await this.writer(bucket).change(change, deadline);
        }
        const forwardDeadline = Math.min(deadline, after(this.ctx.clock.now(), forwardTimeoutMs)) as Instant;
        const res = await this.ctx.ports.peers.ask(writer, "claim-change", change, forwardDeadline);
        const outcome = res.toMaybe().extract()?.toMaybe().extract();
        return outcome === undefined || outcome.kind === "unconfirmed"
            ? await this.writer(bucket).change(change, deadline)
            : outcome;
    }

    /** Applies a change that another host forwards. */
    async serve(change: ClaimChange): Promise<Either<Problem, ClaimChangeOutcome>> {
        const deadline = after(this.ctx.clock.now(), forwardedWriteTimeoutMs);
        return Right(await this.writer(claimBucketIndex(change.claim.key)).change(change, deadline));
    }

    private writer(bucket: number): BucketWriter {
        const existing = this.writers.get(bucket);
        if (existing !== undefined) {
            return existing;
        }
        const writer = new BucketWriter(this.ctx, bucket, () => this.placement.zones());
        this.writers.set(bucket, writer);
        return writer;
    }
}
