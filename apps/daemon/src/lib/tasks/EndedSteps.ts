/** Keeps steps that ended on this host for a limited time, so that a late request does not start them again. */

import { type Instant, type StepStatus } from "@tamarackpath/core";

const maxEntries = 10_000;

/** How a step ended. */
export interface EndedStep {
    readonly outcome: "whole" | "cancelled";
    /** The step's last state; undefined on a host that never owned the step. */
    readonly status: StepStatus | undefined;
    readonly forgetAt: Instant;
}

/** The ended steps, in the order in which they ended. The oldest entry is evicted when there are too many. */
export class EndedSteps {
    private readonly entries = new Map<string, EndedStep>();

    add(key: string, entry: EndedStep): void {
        this.entries.delete(key);
        this.entries.set(key, entry);
        const oldest = this.entries.size > maxEntries ? this.entries.keys().next().value : undefined;
        if (oldest !== undefined) {
            this.entries.delete(oldest);
        }
    }

    get(key: string): EndedStep | undefined {
        return this.entries.get(key);
    }

    removeExpired(now: Instant): void {
        for (const [key, entry] of this.entries) {
            if (entry.forgetAt <= now) {
                this.entries.delete(key);
            }
        }
    }

    list(): readonly { readonly step: string; readonly outcome: EndedStep["outcome"]; }[] {
        return [...this.entries].map(([step, { outcome }]) => ({ step, outcome }));
    }
}
