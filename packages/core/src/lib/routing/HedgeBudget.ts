/** Budget for hedges and retries: a fraction of recent work, so that they do not amplify an overload. */

/** A budget in tokens. It grows by a fraction of the work done, up to `capacity` tokens. */
export class HedgeBudget {
    /** Budget that each token of first attempts adds. */
    fraction = 0;
    private balance = 0;

    constructor(private readonly capacity: number) {}

    get available(): number {
        return this.balance;
    }

    /** Adds the budget for `tokens` of first attempts. */
    earn(tokens: number): void {
        this.balance = Math.min(this.capacity, this.balance + this.fraction * tokens);
    }

    /** Spends `tokens`. Returns false, and spends nothing, if the budget is smaller. */
    spend(tokens: number): boolean {
        if (tokens > this.balance) {
            return false;
        }
        this.balance -= tokens;
        return true;
    }

    /** Returns the tokens that a cancelled attempt did not use. */
    refund(tokens: number): void {
        this.balance = Math.min(this.capacity, this.balance + tokens);
    }
}
