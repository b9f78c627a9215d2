/**
 * Idempotency keys that were made here and never sent, or whose only attempt is known not to have run. Only of these
 * may a caller state that an attempt is the first one.
 */

import { randomUUID } from "node:crypto";

/** Makes idempotency keys and remembers which are fresh. */
export class UnusedIdempotencyKeys {
    private readonly fresh = new Set<string>();

    /** Makes a key that nobody has used. */
    create(): string {
        const key = randomUUID();
        this.fresh.add(key);
        return key;
    }

    /** Tells whether `key` is fresh; from then on it is not. */
    take(key: string): boolean {
        return this.fresh.delete(key);
    }

    /** Makes a key fresh again after its attempt did not run. */
    giveBack(key: string): void {
        this.fresh.add(key);
    }
}
