/**
 * Local health of this host. A host that is short of processor time or disconnected detects failures where there are
 * none, so each sign of that lengthens its timeouts before it suspects others.
 */

const maxScore = 4;

/** The local health multiplier. */
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
