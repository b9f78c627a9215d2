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

/**
 * Names one text of a task as one host builds it up. Parts of different texts are never joined, since a run goes on only
 * after the very event that it was asked to resume after.
 */
export type TextId = number;

/** A text, or its end from some event on, as it is handed to another host. */
export interface ProgressSnapshot {
    readonly textId: TextId;
    readonly pieces: readonly string[];
    readonly versions: readonly WeightVersion[];
    readonly lastEventId: number;
}

/** The text of one task. */
export class TaskProgress {
    private readonly pieces: string[] = [];
    private readonly madeBy = new Set<WeightVersion>();
    private lastId: number | undefined;

    constructor(private id: TextId) {}

    get textId(): TextId {
        return this.id;
    }

    /** Id of the last event read, or undefined before the first one. */
    get lastEventId(): number | undefined {
        return this.lastId;
    }

    get eventCount(): number {
        return this.pieces.length;
    }

    get versions(): readonly WeightVersion[] {
        return [...this.madeBy].sort((a, b) => a - b);
    }

    get output(): string {
        return this.pieces.join("\n");
    }

    /** The text from its event number `from` on, counted from 0, or undefined when there is none. */
    snapshot(from: number): ProgressSnapshot | undefined {
        return this.lastId === undefined || this.pieces.length <= from
            ? undefined
            : { textId: this.id, pieces: this.pieces.slice(from), versions: this.versions, lastEventId: this.lastId };
    }

    /** Replaces the text by a whole copy of another one, under a new id. */
    replace({ pieces, versions, lastEventId }: ProgressSnapshot, textId: TextId): void {
        this.reset(textId);
        this.pieces.push(...pieces);
        versions.forEach(version => this.madeBy.add(version));
        this.lastId = lastEventId;
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

    /** Begins another text. */
    reset(textId: TextId): void {
        this.id = textId;
        this.pieces.length = 0;
        this.madeBy.clear();
        this.lastId = undefined;
    }
}
