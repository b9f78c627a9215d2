/**
 * Local health of this host. A host that is short of processor time or disconnected detects failures of others that
 * have not occurred, so each sign of such a state lengthens the timeouts after which it suspects others. This is the
 * local health multiplier of Lifeguard, an extension of SWIM.
 */

const maxScore = 4;

/** Counts the signs of bad local health, up to a limit. */
export class LocalHealth {
    private score = 0;

    /** Factor for timeouts: 1 on a healthy host. */
    get multiplier(): number {
        return this.score + 1;
    }

    /** Records a sign that the fault lies with this host. */
    worsen(): void {
        this.score = Math.min(maxScore, this.score + 1);
    }

    /** Records that this host was paused. */
    setWorst(): void {
        this.score = maxScore;
    }

    /** Records a probe that was answered in time. */
    improve(): void {
        this.score = Math.max(0, this.score - 1);
    }
}
