/** Reports changes to the conductor until it has acknowledged them, and all that is recorded to each new conductor. */

import { after, type Clock, type HostId, sleepUntil } from "@tamarackpath/core";
import { type ConductorTask } from "./ConductorTask.js";

/** What a reporter needs of the conductor's task. */
export type ConductorView = Pick<ConductorTask, "conductor" | "isSure" | "events">;

/** Milliseconds before a report that the conductor did not acknowledge is repeated. */
const retryDelayMs = 250;

/** Reports what is recorded under the keys that have changed. */
export class ConductorReporter<Key> {
    private readonly unreported = new Set<Key>();
    private isReporting = false;

    /** `send` resolves with true when the conductor has acknowledged the report. */
    constructor(
        private readonly conductor: ConductorView,
        private readonly clock: Clock,
        allKeys: () => readonly Key[],
        private readonly send: (host: HostId, keys: ReadonlySet<Key>) => Promise<boolean>,
    ) {
        conductor.events.on("conductor", host => {
            // A new conductor has only what its own requests showed.
            allKeys().forEach(key => this.unreported.add(key));
            if (host !== undefined) {
                void this.report();
            }
        });
    }

    /** Reports what is recorded under `key`. */
    add(key: Key): void {
        this.unreported.add(key);
        void this.report();
    }

    private async report(): Promise<void> {
        if (this.isReporting) {
            return;
        }
        this.isReporting = true;
        try {
            while (this.unreported.size > 0) {
                const host: HostId | undefined = this.conductor.conductor;
                if (host === undefined || this.conductor.isSure) {
                    return;
                }
                const keys = new Set(this.unreported);
                this.unreported.clear();
                if (!await this.send(host, keys)) {
                    keys.forEach(key => this.unreported.add(key));
                    await sleepUntil(this.clock, after(this.clock.now(), retryDelayMs));
                }
            }
        }
        finally {
            this.isReporting = false;
        }
    }
}
