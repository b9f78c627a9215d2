/** A suspicion with a deadline; each further host that suspects the same member brings the deadline forward. */

import { after, type HostId, type Instant } from "../ids.js";

const maxConfirmations = 3;
const maxTimeoutFactor = 3;

/** The suspicion of one member, with the hosts that suspect it (its accusers). */
export class Suspicion {
    private readonly accusers = new Set<HostId>();
    private postponedMs = 0;

    constructor(
        private readonly startedAt: Instant,
        private readonly minTimeoutMs: number,
        /** Number of members that could confirm the suspicion. */
        private readonly otherMembers: number,
    ) {}

    /** Adds an accuser; false if it is one already, or if more accusers have no effect. */
    addAccuser(accuser: HostId): boolean {
        if (this.accusers.has(accuser) || this.accusers.size > this.neededConfirmations) {
            return false;
        }
        this.accusers.add(accuser);
        return true;
    }

    /** Postpones the deadline, because this host itself was paused. */
    postpone(ms: number): void {
        this.postponedMs += ms;
    }

    get deadline(): Instant {
        const maxTimeoutMs = this.minTimeoutMs * maxTimeoutFactor;
        const confirmations = Math.max(0, this.accusers.size - 1);
        const share = this.neededConfirmations === 0
            ? 1
            : Math.min(1, Math.log(confirmations + 1) / Math.log(this.neededConfirmations + 1));
        return after(this.startedAt, maxTimeoutMs - share * (maxTimeoutMs - this.minTimeoutMs) + this.postponedMs);
    }

    /** Confirmations that bring the deadline to its minimum; at most the number of other members. */
    private get neededConfirmations(): number {
        return Math.max(0, Math.min(maxConfirmations, this.otherMembers));
    }
}
