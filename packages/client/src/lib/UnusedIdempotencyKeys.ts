/**
 * Idempotency keys that were created here and never sent, or whose only attempt is known not to have run. Only for these
 * may a caller state that an attempt is the first one.
 */

import { randomUUID } from "node:crypto";

/** Creates idempotency keys and keeps those that are unused. */
export class UnusedIdempotencyKeys {
    private readonly unused = new Set<string>();

    /** Creates an unused key. */
    create(): string {
        const key = randomUUID();
        this.unused.add(key);
        return key;
    }

    /** Marks `key` as used; returns whether it was unused before. */
    consume(key: string): boolean {
        return this.unused.delete(key);
    }

    /** Marks a key as unused again, after its attempt did not run. */
    restore(key: string): void {
        this.unused.add(key);
    }
}
