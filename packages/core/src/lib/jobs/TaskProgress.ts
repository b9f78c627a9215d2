/**
 * The text of a task as received so far: its events in order, the weight versions that generated them, and the software
 * of the engines, which must be one for the whole text. A run that broke off is resumed after the last whole event, so no
 * event is requested twice.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { type SoftwareVersion, type WeightVersion } from "../ids.js";
import { isContradictedBy, type SoftwareRun } from "../software/SoftwareRun.js";
import { jsonBytesOf, maxTextBytes } from "./resultSize.js";

/** One event of an engine's stream. */
export interface StreamEvent {
    readonly id: number;
    readonly data: string;
}

/** Why an event cannot be appended to the text received so far. */
export type EventFault = "gap" | "repeated" | "too-long";

/** Id of the first event of a text; each further event has the next number. */
const firstEventId = 1;

/**
 * Identifies one text of a task as one host builds it up. Parts of texts with different ids are never joined, because a
 * run continues only after exactly the event that its request names.
 */
export type TextId = number;

/** A text, or the part of it from some event on, as it is sent to another host. */
export interface ProgressSnapshot {
    readonly textId: TextId;
    readonly pieces: readonly string[];
    readonly versions: readonly WeightVersion[];
    readonly lastEventId: number;
    /** Whether the text ends with the last of `pieces`. */
    readonly isComplete: boolean;
    /** The software that generated the text; undefined while it is unknown, as in copies of earlier releases. */
    readonly software?: SoftwareVersion | undefined;
}

/** The text of one task. */
export class TaskProgress {
    private readonly pieces: string[] = [];
    private readonly versionSet = new Set<WeightVersion>();
    private lastId: number | undefined;
    private hasEnded = false;
    private generator: SoftwareVersion | undefined;
    private readonly runs: SoftwareRun[] = [];
    /** Size of the text in JSON; the quotation marks of each piece count for the line break that follows it. */
    private bytes = 0;

    constructor(private id: TextId) {}

    get textId(): TextId {
        return this.id;
    }

    /** Id of the last event received, or undefined before the first one. */
    get lastEventId(): number | undefined {
        return this.lastId;
    }

    /** The software that generates the text; undefined while it is unknown. */
    get software(): SoftwareVersion | undefined {
        return this.generator;
    }

    /** Whether a run at an engine with `software` may go on with the text. Unknown software never does. */
    canContinueAt(software: SoftwareVersion | undefined): boolean {
        return this.pieces.length === 0 || software !== undefined && this.generator === software;
    }

    /** Records the run that generates the next events, after `canContinueAt` has allowed it. */
    beginRun(run: SoftwareRun): void {
        this.generator = run.software;
        this.runs.push(run);
    }

    /**
     * Whether the entry of a restarted target shows that events of the text are not of the software that they were
     * taken for: a run began there when the target had restarted already.
     */
    isContradictedBy(entry: TargetEntryView): boolean {
        return this.runs.some(run => isContradictedBy(run, entry));
    }

    /** True once the engine has sent the whole text. */
    get isComplete(): boolean {
        return this.hasEnded;
    }

    /** Records that the last event received ends the text. */
    markComplete(): void {
        this.hasEnded = true;
    }

    /** Number of events received. */
    get eventCount(): number {
        return this.pieces.length;
    }

    get versions(): readonly WeightVersion[] {
        return [...this.versionSet].sort((a, b) => a - b);
    }

    get output(): string {
        return this.pieces.join("\n");
    }

    /**
     * The text from its event number `from` on, counted from 0, or undefined if it is incomplete and has no more events
     * than that.
     */
    snapshot(from: number): ProgressSnapshot | undefined {
        return this.lastId === undefined || this.pieces.length <= from && !this.hasEnded ? undefined : {
            textId: this.id,
            pieces: this.pieces.slice(from),
            versions: this.versions,
            lastEventId: this.lastId,
            isComplete: this.hasEnded,
            software: this.generator,
        };
    }

    /** Replaces the text by a complete copy of another one, under a new id. */
    replace({ pieces, versions, lastEventId, isComplete, software }: ProgressSnapshot, textId: TextId): void {
        this.reset(textId);
        this.pieces.push(...pieces);
        this.bytes = pieces.reduce((sum, piece) => sum + jsonBytesOf(piece), 0);
        versions.forEach(version => this.versionSet.add(version));
        this.lastId = lastEventId;
        this.hasEnded = isComplete;
        this.generator = software;
    }

    /** Id of the event that comes next. */
    get nextEventId(): number {
        return this.lastId === undefined ? firstEventId : this.lastId + 1;
    }

    /**
     * Appends `event`, generated by `version`. An event that does not follow the last one, or does not begin the text, or
     * makes the text too long for a result, changes nothing; the fault is returned.
     */
    append(event: StreamEvent, version: WeightVersion): EventFault | undefined {
        if (event.id !== this.nextEventId) {
            return event.id < this.nextEventId ? "repeated" : "gap";
        }
        const bytes = this.bytes + jsonBytesOf(event.data);
        if (bytes > maxTextBytes) {
            return "too-long";
        }
        this.bytes = bytes;
        this.lastId = event.id;
        this.pieces.push(event.data);
        this.versionSet.add(version);
        return undefined;
    }

    /**
     * Whether the text may be part of a result that allows versions from `minVersion` on, and one version only if
     * `singleVersion`.
     */
    isUsableFor(minVersion: WeightVersion, singleVersion: boolean): boolean {
        const { versions } = this;
        return versions.every(version => version >= minVersion) && (!singleVersion || versions.length <= 1);
    }

    /** Discards the text and begins a new one. */
    reset(textId: TextId): void {
        this.id = textId;
        this.pieces.length = 0;
        this.bytes = 0;
        this.versionSet.clear();
        this.lastId = undefined;
        this.hasEnded = false;
        this.generator = undefined;
        this.runs.length = 0;
    }
}
