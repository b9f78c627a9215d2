/** Adds the state of the key-value client to the dump: its circuit breaker and the calls for each purpose. */

import { type GuardedKeyValue } from "@tamarackpath/adapters";
import { type Task } from "../Context.js";

/** Describes the key-value client. */
export class KeyValueTask implements Task {
    readonly name = "keyValue";

    constructor(private readonly client: GuardedKeyValue) {}

    start(): void {
        // The client opens its connections on the first calls.
    }

    stop(): void {
        // The daemon closes the client after every task has stopped.
    }

    dump(): unknown {
        return this.client.describe();
    }
}
