/**
 * What is known of a task's text: the events read so far, in order, and the weight versions that made them. A run that
 * broke off is resumed after the last whole event, so no event is asked for twice.
 */

import { type WeightVersion } from "../ids.js";

/** One event of an engine's stream. */
export interface StreamEvent {
    readonly id: number;
    readonly data: string;
}

/** Why an event cannot follow the text read so far. */
export type EventFault = "gap" | "repeated";

/** The text of one task. */
export class TaskProgress {
    private readonly pieces: string[] = [];
    private readonly madeBy = new Set<WeightVersion>();
    private lastId: number | undefined;

    /** Id of the last event read, or undefined before the first one. */
    get lastEventId(): number | undefined {
        return this.lastId;
    }

    get events(): number {
        return this.pieces.length;
    }

    get versions(): readonly WeightVersion[] {
        return [...this.madeBy].sort((a, b) => a - b);
    }

    get output(): string {
        return this.pieces.join("\n");
    }

    /** Appends `event`, made by `version`; an event that does not follow the last one changes nothing. */
    append(event: StreamEvent, version: WeightVersion): EventFault | undefined {
        const expected = this.lastId === undefined ? undefined : this.lastId + 1;
        if (expected !== undefined && event.id !== expected) {
            return event.id < expected ? "repeated" : "gap";
        }
        this.lastId = event.id;
        this.pieces.push(event.data);
        this.madeBy.add(version);
        return undefined;
    }

    /** Whether the text may be part of a result that allows versions from `minVersion`, or a single version only. */
    suits(minVersion: WeightVersion, singleVersion: boolean): boolean {
        const { versions } = this;
        return versions.every(version => version >= minVersion) && (!singleVersion || versions.length <= 1);
    }

    reset(): void {
        this.pieces.length = 0;
        this.madeBy.clear();
        this.lastId = undefined;
    }
}
