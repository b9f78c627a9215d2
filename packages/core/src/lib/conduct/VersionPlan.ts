/**
 * Decides which engines change to a newly named weight version, and when. A change takes an engine out for about a
 * second, so only a few change at once; engines that nothing waits for go first. An engine too old for the next step
 * changes even while it is busy. Orders carry the number of orders that the engine has accepted, so that an order
 * carried out late cannot undo a newer one, and an order without an answer is only repeated with the same number.
 */

import { after, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";

/** An engine as its entry, its reports and its answers describe it. */
export interface EngineState {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly version: WeightVersion;
    readonly leaving: boolean;
    /** Tasks that this host runs there. */
    readonly running: number;
}

/** An order to send. */
export interface VersionOrder {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly model: string;
    readonly version: WeightVersion;
    readonly expectedOrders: number;
}

/** How an order ended; "unanswered" may still be carried out, seconds later. */
export type VersionOrderEnd = "accepted" | "holds" | "busy" | "refused" | "unanswered";

/** Bounds of a plan. */
export interface VersionPlanLimits {
    /** Share of a model's engines that may change at once. */
    readonly changingShare: number;
    /** Milliseconds that a change takes at an engine; until then it is given no work. */
    readonly changeMs: number;
    /** Versions that an engine may be behind before it changes although it is busy. */
    readonly allowedLag: number;
}

interface Track {
    incarnation: Incarnation;
    /** Version that an accepted order named; counts once `readyAt` has come. */
    ordered: WeightVersion | undefined;
    readyAt: Instant;
    /** An order is on its way. */
    sending: boolean;
    /** Orders that the engine has accepted, as its own answers tell; undefined until its report is read. */
    accepted: number | undefined;
    notBefore: Instant;
}

/** Milliseconds before an engine that was busy or refused is ordered again. */
const retryMs = 300;

/** Milliseconds after a change within which an engine's runs may still be paused. */
const pauseSlackMs = 500;

/** Plans the changes of one model. */
export class VersionPlan {
    private readonly tracks = new Map<TargetId, Track>();
    private named: WeightVersion | undefined;

    constructor(readonly model: string, private readonly limits: VersionPlanLimits) {}

    get wanted(): WeightVersion | undefined {
        return this.named;
    }

    /** Takes the version that the trainer named; a lower one changes nothing. */
    name(version: WeightVersion): void {
        this.named = Math.max(version, this.named ?? 0) as WeightVersion;
    }

    /** The version that the engine serves at `now`, or undefined while it changes. */
    versionOf(engine: EngineState, now: Instant): WeightVersion | undefined {
        const track = this.trackOf(engine);
        if (track.sending) {
            return undefined;
        }
        if (track.ordered === undefined || track.ordered <= engine.version) {
            return engine.version;
        }
        return now >= track.readyAt ? track.ordered : undefined;
    }

    /** The orders to send at `now`; `needed` is the oldest version that open work allows. */
    decide(engines: readonly EngineState[], now: Instant, hasWaitingWork: boolean): readonly VersionOrder[] {
        const { named, model } = this;
        if (named === undefined) {
            return [];
        }
        const changing = engines.filter(engine => this.isChanging(engine, now)).length;
        const most = Math.max(1, Math.ceil(engines.length * this.limits.changingShare));
        const behind = engines.filter(engine => !engine.leaving && this.mayOrder(engine, named, now));
        const urgent = behind.filter(engine => this.believed(engine) < named - this.limits.allowedLag);
        const idle = behind.filter(engine => !urgent.includes(engine) && engine.running === 0 && !hasWaitingWork);
        const byLoad = (a: EngineState, b: EngineState): number => a.running - b.running;
        return [...urgent.sort(byLoad), ...idle].slice(0, Math.max(0, most - changing)).map(engine => ({
            target: engine.target,
            incarnation: engine.incarnation,
            model,
            version: named,
            expectedOrders: this.trackOf(engine).accepted ?? 0,
        }));
    }

    noteSent(order: VersionOrder): void {
        const track = this.tracks.get(order.target);
        if (track !== undefined) {
            track.sending = true;
        }
    }

    noteEnd(order: VersionOrder, end: VersionOrderEnd, now: Instant): void {
        const track = this.tracks.get(order.target);
        if (track === undefined || track.incarnation !== order.incarnation) {
            return;
        }
        track.sending = false;
        if (end === "accepted" || end === "holds") {
            track.ordered = order.version;
            track.readyAt = end === "holds" ? now : after(now, this.limits.changeMs);
            track.accepted = order.expectedOrders + (end === "accepted" ? 1 : 0);
            return;
        }
        if (end !== "refused") {
            track.accepted = undefined;
        }
        track.notBefore = after(now, retryMs);
    }

    /** Engines whose own report is needed before they can be ordered again. */
    unclear(now: Instant): readonly TargetId[] {
        return [...this.tracks].filter(([, track]) =>
            track.accepted === undefined && !track.sending && track.notBefore <= now
        ).map(([target]) => target);
    }

    /** Takes an engine's own report: its version, the orders that it accepted, and whether one is in progress. */
    noteReport(engine: EngineState, accepted: number, isBusy: boolean, now: Instant): void {
        const track = this.trackOf(engine);
        track.accepted = isBusy ? undefined : accepted;
        track.notBefore = after(now, isBusy ? retryMs : 0);
        if (isBusy) {
            track.readyAt = after(now, retryMs);
        }
        else if (track.ordered !== undefined && engine.version < track.ordered) {
            track.ordered = undefined;
        }
    }

    /** An engine's report could not be read; it is tried again after a moment. */
    noteNoReport(target: TargetId, now: Instant): void {
        const track = this.tracks.get(target);
        if (track !== undefined) {
            track.notBefore = after(now, retryMs);
        }
    }

    /** Whether the engine changes, or changed a moment ago. */
    isPaused(target: TargetId, now: Instant): boolean {
        const track = this.tracks.get(target);
        return track !== undefined && (track.sending || now < track.readyAt + pauseSlackMs);
    }

    /** When engines that change should serve again. */
    readyTimes(): readonly Instant[] {
        return [...this.tracks.values()].map(({ readyAt }) => readyAt);
    }

    /** An engine refused work because it still changes. */
    noteStillChanging(target: TargetId, until: Instant): void {
        const track = this.tracks.get(target);
        if (track?.ordered !== undefined) {
            track.readyAt = Math.max(track.readyAt, until) as Instant;
        }
    }

    /** An engine's answer showed its version; a lower one than ordered means that the order did not take effect. */
    noteServed(engine: EngineState, version: WeightVersion): void {
        const track = this.trackOf(engine);
        if (track.ordered !== undefined && version < track.ordered) {
            track.ordered = undefined;
            track.accepted = undefined;
        }
    }

    private believed(engine: EngineState): WeightVersion {
        return Math.max(engine.version, this.trackOf(engine).ordered ?? 0) as WeightVersion;
    }

    private mayOrder(engine: EngineState, named: WeightVersion, now: Instant): boolean {
        const track = this.trackOf(engine);
        return this.believed(engine) < named && !track.sending && track.accepted !== undefined && track.notBefore <= now
            && track.readyAt <= now;
    }

    private isChanging(engine: EngineState, now: Instant): boolean {
        const track = this.trackOf(engine);
        return track.sending || track.readyAt > now;
    }

    private trackOf({ target, incarnation }: EngineState): Track {
        const known = this.tracks.get(target);
        if (known?.incarnation === incarnation) {
            return known;
        }
        const track: Track = {
            incarnation,
            ordered: undefined,
            readyAt: 0 as Instant,
            sending: false,
            accepted: undefined,
            notBefore: 0 as Instant,
        };
        this.tracks.set(target, track);
        return track;
    }
}
