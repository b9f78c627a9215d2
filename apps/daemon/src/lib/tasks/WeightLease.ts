/**
 * The lease under which one host conducts a pool's weights in its zone. When the answer of a swap is lost, the swap is
 * repeated: its result shows whether the first one was applied. A lapsed lease is never reused, so that each
 * acquisition has a higher fencing token.
 */

import {
    type ConductorLease,
    type KeyRevision,
    type Lease,
    type LeaseId,
    type PoolId,
    type SwapResult,
} from "@tamarackpath/core";
import { type Context } from "../Context.js";

const leaseTtlMs = 6000;
const leasePrefix = "tamarackpath/leases/weights/";

/** Acquires, renews and releases the lease of one pool. */
export class WeightLease {
    private serial = 0;
    private busy = false;

    constructor(private readonly ctx: Context, private readonly pool: PoolId) {}

    /** Tries to acquire the lease; undefined when another host holds it or the key-value service does not answer. */
    acquire(): Promise<ConductorLease | undefined> {
        return this.runExclusively(async () => {
            const granted = await this.ctx.ports.keyValue.grantLease(leaseTtlMs);
            const lease = granted.toMaybe().extract();
            return lease === undefined ? undefined : await this.claim(lease);
        });
    }

    /** Renews the lease; "lapsed" when it has expired, undefined when the result is not known. */
    renew(hold: ConductorLease): Promise<ConductorLease | "lapsed" | undefined> {
        return this.runExclusively(async () => {
            const res = await this.ctx.ports.keyValue.keepAlive(hold.lease, leaseTtlMs);
            return res.caseOf<ConductorLease | "lapsed" | undefined>({
                Left: failure => failure.answered === true ? "lapsed" : undefined,
                Right: lease => ({ ...hold, deadline: lease.deadline }),
            });
        });
    }

    async release(lease: LeaseId): Promise<void> {
        await this.ctx.ports.keyValue.revokeLease(lease);
    }

    private async claim(lease: Lease): Promise<ConductorLease | undefined> {
        const key = `${leasePrefix}${this.ctx.zone}/${this.pool}`;
        const claim = `${this.ctx.host}/${this.ctx.incarnation}/${this.serial++}`;
        const { keyValue } = this.ctx.ports;
        const res = await keyValue.swap(key, 0 as KeyRevision, claim, lease.id);
        const result = await res.caseOf<Promise<SwapResult | undefined>>({
            Right: swap => Promise.resolve(swap),
            Left: async () => (await keyValue.swap(key, 0 as KeyRevision, claim, lease.id)).toMaybe().extract(),
        });
        const fence = result === undefined ? undefined : fenceOf(result, claim);
        if (fence === undefined) {
            await this.release(lease.id);
            return undefined;
        }
        return { lease: lease.id, fence, deadline: lease.deadline };
    }

    private async runExclusively<Result>(run: () => Promise<Result>): Promise<Result | undefined> {
        if (this.busy) {
            return undefined;
        }
        this.busy = true;
        try {
            return await run();
        }
        finally {
            this.busy = false;
        }
    }
}

function fenceOf(result: SwapResult, claim: string): number | undefined {
    if (result.swapped) {
        return result.revision;
    }
    return result.current?.value === claim ? result.current.revision : undefined;
}
