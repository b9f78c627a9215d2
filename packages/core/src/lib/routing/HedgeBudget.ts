/** The budget that hedges and retries spend from: a fraction of recent work, so that they never feed an overload. */

/** Counts in tokens. What is earned is a fraction of the work done, and no more than `most` is saved up. */
export class HedgeBudget {
    /** What each token of first attempts earns. */
    fraction = 0;
    private balance = 0;

    constructor(private readonly most: number) {}

    get available(): number {
        return this.balance;
    }

    /** Notes first attempts' work. */
    earn(tokens: number): void {
        this.balance = Math.min(this.most, this.balance + this.fraction * tokens);
    }

    /** Takes `tokens` when they are there. */
    spend(tokens: number): boolean {
        if (tokens > this.balance) {
            return false;
        }
        this.balance -= tokens;
        return true;
    }

    /** Gives back what a cancelled attempt did not use. */
    refund(tokens: number): void {
        this.balance = Math.min(this.most, this.balance + tokens);
    }
}
