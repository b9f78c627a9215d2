/**
 * Decides which engines of a service change to a newly named weight version, and when. A change takes an engine out for
 * about a second, so only a few change at once, the least busy first, and with several models each engine follows one of
 * them. Orders carry the number of orders that the engine has accepted, so that an order carried out late cannot undo a
 * newer one, and an order without an answer is only repeated with the same number.
 */

import { after, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { ModelShares, versionsBehind } from "./ModelShares.js";

/** An engine as its entry and its answers describe it. */
export interface EngineState {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly models: readonly { readonly model: string; readonly version: WeightVersion; }[];
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
    /** Orders that the engine has accepted so far. */
    readonly expectedOrders: number;
}

/** How an order ended; "unanswered" may still be carried out, seconds later. */
export type VersionOrderEnd = "accepted" | "holds" | "busy" | "refused" | "unanswered";

/** Bounds of a plan. */
export interface VersionPlanLimits {
    /** Share of the engines that may change at once. */
    readonly changingShare: number;
    /** Milliseconds that a change takes at an engine; until then it is given no work of the model. */
    readonly changeMs: number;
}

/** A change that an engine accepted. */
interface Change {
    readonly model: string;
    readonly version: WeightVersion;
    /** When the engine serves it. */
    readyAt: Instant;
}

interface Track {
    readonly incarnation: Incarnation;
    /** Changes by model that the engine's entry may not show yet. */
    readonly changes: Map<string, Change>;
    /** The order on its way. */
    sending: VersionOrder | undefined;
    /** Orders that the engine has accepted, as its own answers tell; undefined until its report is read. */
    accepted: number | undefined;
    notBefore: Instant;
}

/** Milliseconds before an engine that was busy or refused is ordered again. */
const retryMs = 300;

/** Milliseconds after a change within which an engine's runs may still be paused. */
const pauseSlackMs = 500;

/** Plans the changes of one service's engines. */
export class VersionPlan {
    private readonly tracks = new Map<TargetId, Track>();
    private readonly named = new Map<string, WeightVersion>();
    private readonly shares = new ModelShares();

    constructor(private readonly limits: VersionPlanLimits) {}

    /** Takes the version that a trainer named; a lower one changes nothing. */
    name(model: string, version: WeightVersion): void {
        this.named.set(model, Math.max(version, this.named.get(model) ?? 0) as WeightVersion);
    }

    wanted(model: string): WeightVersion | undefined {
        return this.named.get(model);
    }

    /** The version of `model` that the engine serves at `now`, or undefined while it changes. */
    versionOf(engine: EngineState, model: string, now: Instant): WeightVersion | undefined {
        const version = listedVersion(engine, model);
        const { sending, changes } = this.trackOf(engine);
        const change = changes.get(model);
        // An engine lists a new version before it serves it, so the time of the change counts and not the list.
        if (version === undefined || sending?.model === model || change !== undefined && now < change.readyAt) {
            return undefined;
        }
        return Math.max(version, change?.version ?? 0) as WeightVersion;
    }

    /** The orders to send at `now`. */
    decide(engines: readonly EngineState[], now: Instant): readonly VersionOrder[] {
        const staying = engines.filter(({ leaving }) => !leaving);
        const models = [...this.named.keys()].filter(model =>
            staying.some(engine => listedVersion(engine, model) !== undefined)
        ).sort();
        this.shares.update(
            models,
            staying.map(engine => ({
                target: engine.target,
                running: engine.running,
                behind: model => this.behind(engine, model),
            })),
        );
        const changing = engines.filter(engine => this.isPaused(engine.target, now, 0)).length;
        const most = Math.max(1, Math.ceil(engines.length * this.limits.changingShare));
        return staying.flatMap(engine => this.orderFor(engine, now) ?? [])
            .sort((a, b) => b.behind - a.behind || a.running - b.running)
            .slice(0, Math.max(0, most - changing))
            .map(({ order }) => order);
    }

    recordSent(order: VersionOrder): void {
        const track = this.tracks.get(order.target);
        if (track !== undefined) {
            track.sending = order;
        }
    }

    recordEnd(order: VersionOrder, end: VersionOrderEnd, now: Instant): void {
        const track = this.tracks.get(order.target);
        if (track === undefined || track.incarnation !== order.incarnation) {
            return;
        }
        track.sending = undefined;
        if (end === "accepted" || end === "holds") {
            const readyAt = end === "holds" ? now : after(now, this.limits.changeMs);
            track.changes.set(order.model, { model: order.model, version: order.version, readyAt });
            track.accepted = order.expectedOrders + (end === "accepted" ? 1 : 0);
            return;
        }
        if (end !== "refused") {
            track.accepted = undefined;
        }
        track.notBefore = after(now, retryMs);
    }

    /** Engines that should be ordered but whose own report is needed first. */
    enginesNeedingReport(engines: readonly EngineState[], now: Instant): readonly TargetId[] {
        return engines.filter(engine => {
            const track = this.trackOf(engine);
            const model = this.shares.modelOf(engine.target);
            const isBehind = model !== undefined && (this.behind(engine, model) ?? 0) > 0;
            return isBehind && track.accepted === undefined && track.sending === undefined && track.notBefore <= now;
        }).map(({ target }) => target);
    }

    /** Takes an engine's own report: its versions, the orders that it accepted, and whether one is in progress. */
    recordReport(engine: EngineState, accepted: number, isBusy: boolean, now: Instant): void {
        const track = this.trackOf(engine);
        track.accepted = isBusy ? undefined : accepted;
        track.notBefore = after(now, isBusy ? retryMs : 0);
        for (const change of [...track.changes.values()]) {
            if (isBusy) {
                change.readyAt = Math.max(change.readyAt, after(now, retryMs)) as Instant;
            }
            else if ((listedVersion(engine, change.model) ?? 0) < change.version) {
                track.changes.delete(change.model);
            }
        }
    }

    /** An engine's report could not be read; it is tried again after a moment. */
    recordReportFailure(target: TargetId, now: Instant): void {
        const track = this.tracks.get(target);
        if (track !== undefined) {
            track.notBefore = after(now, retryMs);
        }
    }

    /** Whether the engine changes, or did so within the last `slackMs`. */
    isPaused(target: TargetId, now: Instant, slackMs = pauseSlackMs): boolean {
        const track = this.tracks.get(target);
        return track !== undefined
            && (track.sending !== undefined
                || [...track.changes.values()].some(({ readyAt }) => now < readyAt + slackMs));
    }

    /** When engines that change should serve again. */
    readyTimes(): readonly Instant[] {
        return [...this.tracks.values()].flatMap(({ changes }) => [...changes.values()].map(({ readyAt }) => readyAt));
    }

    /** An engine refused work because it still changes. */
    recordStillChanging(target: TargetId, model: string, until: Instant): void {
        const change = this.tracks.get(target)?.changes.get(model);
        if (change !== undefined) {
            change.readyAt = Math.max(change.readyAt, until) as Instant;
        }
    }

    /** An engine's answer showed its version; a lower one than ordered means that the order did not take effect. */
    recordServedVersion(engine: EngineState, model: string, version: WeightVersion): void {
        const track = this.trackOf(engine);
        const change = track.changes.get(model);
        if (change !== undefined && version < change.version) {
            track.changes.delete(model);
            track.accepted = undefined;
        }
    }

    private orderFor(
        engine: EngineState,
        now: Instant,
    ): { order: VersionOrder; behind: number; running: number; } | undefined {
        const model = this.shares.modelOf(engine.target);
        const track = this.trackOf(engine);
        const behind = model === undefined ? undefined : this.behind(engine, model);
        if (model === undefined || behind === undefined || behind === 0) {
            return undefined;
        }
        if (track.accepted === undefined || track.notBefore > now || this.isPaused(engine.target, now, 0)) {
            return undefined;
        }
        const { target, incarnation, running } = engine;
        const version = this.named.get(model)!;
        return { order: { target, incarnation, model, version, expectedOrders: track.accepted }, behind, running };
    }

    /** Versions that the engine is behind, counting changes that it has accepted. */
    private behind(engine: EngineState, model: string): number | undefined {
        const version = listedVersion(engine, model);
        const ordered = this.trackOf(engine).changes.get(model)?.version ?? 0;
        const named = this.named.get(model);
        return version === undefined || named === undefined
            ? undefined
            : versionsBehind(Math.max(version, ordered) as WeightVersion, named);
    }

    private trackOf({ target, incarnation }: EngineState): Track {
        const known = this.tracks.get(target);
        if (known?.incarnation === incarnation) {
            return known;
        }
        const track: Track = {
            incarnation,
            changes: new Map(),
            sending: undefined,
            accepted: undefined,
            notBefore: 0 as Instant,
        };
        this.tracks.set(target, track);
        return track;
    }
}

function listedVersion({ models }: EngineState, model: string): WeightVersion | undefined {
    return models.find(known => known.model === model)?.version;
}
