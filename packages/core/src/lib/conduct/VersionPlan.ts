/**
 * Decides which engines of a service change to a new weight version, and when. A change takes an engine out of service
 * for about a second, so only a few change at once, the least busy first, and with several models each engine follows
 * one of them. An order carries the number of orders that the engine has accepted so far, so that an order that is
 * executed late cannot undo a newer one. An order that got no answer is only repeated with the same number.
 */

import { after, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { ModelShares, versionsBehind } from "./ModelShares.js";

/** An engine as described by its directory entry and its answers. */
export interface EngineState {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly models: readonly { readonly model: string; readonly version: WeightVersion; }[];
    readonly leaving: boolean;
    /** Number of tasks that this host runs there. */
    readonly running: number;
}

/** An order to change an engine to a version of a model. */
export interface VersionOrder {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
    readonly model: string;
    readonly version: WeightVersion;
    /** Number of orders that the engine has accepted so far. */
    readonly expectedOrders: number;
}

/**
 * How an order ended. "holds": the engine has the version already. "unanswered": it may still be executed, seconds
 * later.
 */
export type VersionOrderEnd = "accepted" | "holds" | "busy" | "refused" | "unanswered";

/** Limits of a plan. */
export interface VersionPlanLimits {
    /** Maximum share of the engines that change at once; one engine may always change. */
    readonly changingShare: number;
    /** Milliseconds that a change takes. During this time the engine gets no work of the model. */
    readonly changeMs: number;
}

/** A change that an engine has accepted. */
interface AcceptedChange {
    readonly model: string;
    readonly version: WeightVersion;
    /** When the engine serves the version. */
    readyAt: Instant;
}

/** The orders of one incarnation of an engine. */
interface EngineOrderState {
    readonly incarnation: Incarnation;
    /** Accepted changes by model, which the engine's directory entry may not show yet. */
    readonly changes: Map<string, AcceptedChange>;
    /** The order that is in flight. */
    orderInFlight: VersionOrder | undefined;
    /** Number of orders that the engine has accepted, from its answers; undefined until its report has been read. */
    accepted: number | undefined;
    /** No order is sent and no report is read before this time. */
    notBefore: Instant;
}

/** Milliseconds before the next order or report is tried at an engine that was busy or did not accept an order. */
const retryDelayMs = 300;

/** Milliseconds after a change during which an engine's runs may still be paused. */
const pauseSlackMs = 500;

/** Plans the version changes of one service's engines. */
export class VersionPlan {
    private readonly orderStates = new Map<TargetId, EngineOrderState>();
    /** The highest requested version of each model. */
    private readonly named = new Map<string, WeightVersion>();
    private readonly shares = new ModelShares();

    constructor(private readonly limits: VersionPlanLimits) {}

    /** Sets the version of a model that a trainer requested; a lower one than before changes nothing. */
    name(model: string, version: WeightVersion): void {
        this.named.set(model, Math.max(version, this.named.get(model) ?? 0) as WeightVersion);
    }

    /** The highest version of a model that was requested. */
    namedVersion(model: string): WeightVersion | undefined {
        return this.named.get(model);
    }

    /** The version of `model` that the engine serves at `now`, or undefined while it changes. */
    versionOf(engine: EngineState, model: string, now: Instant): WeightVersion | undefined {
        const version = listedVersion(engine, model);
        const { orderInFlight, changes } = this.orderStateOf(engine);
        const change = changes.get(model);
        // An engine lists a new version before it serves it, so the time of the change decides and not the list.
        if (version === undefined || orderInFlight?.model === model || change !== undefined && now < change.readyAt) {
            return undefined;
        }
        return Math.max(version, change?.version ?? 0) as WeightVersion;
    }

    /**
     * The orders to send at `now`; the caller reports each one to `recordSent` and `recordEnd`. `workOf` returns the work
     * of a model's steps, by which the engines are divided among models.
     */
    decide(
        engines: readonly EngineState[],
        now: Instant,
        workOf: (model: string) => number | undefined = () => undefined,
    ): readonly VersionOrder[] {
        const staying = engines.filter(({ leaving }) => !leaving);
        const models = [...this.named.keys()].filter(model =>
            staying.some(engine => listedVersion(engine, model) !== undefined)
        ).sort();
        this.shares.update(
            models,
            staying.map(engine => ({
                target: engine.target,
                running: engine.running,
                versionsBehind: model => this.versionsBehindOf(engine, model),
            })),
            workOf,
        );
        const changing = engines.filter(engine => this.isPaused(engine.target, now, 0)).length;
        const maxChanging = Math.max(1, Math.ceil(engines.length * this.limits.changingShare));
        return staying.flatMap(engine => this.orderFor(engine, now) ?? [])
            .sort((a, b) => b.behind - a.behind || a.running - b.running)
            .slice(0, Math.max(0, maxChanging - changing))
            .map(({ order }) => order);
    }

    /** Records that an order is in flight. */
    recordSent(order: VersionOrder): void {
        const state = this.orderStates.get(order.target);
        if (state !== undefined) {
            state.orderInFlight = order;
        }
    }

    /** Records how an order ended. */
    recordEnd(order: VersionOrder, end: VersionOrderEnd, now: Instant): void {
        const state = this.orderStates.get(order.target);
        if (state === undefined || state.incarnation !== order.incarnation) {
            return;
        }
        state.orderInFlight = undefined;
        if (end === "accepted" || end === "holds") {
            const readyAt = end === "holds" ? now : after(now, this.limits.changeMs);
            state.changes.set(order.model, { model: order.model, version: order.version, readyAt });
            state.accepted = order.expectedOrders + (end === "accepted" ? 1 : 0);
            return;
        }
        if (end !== "refused") {
            state.accepted = undefined;
        }
        state.notBefore = after(now, retryDelayMs);
    }

    /** Engines that are behind, and whose own report has to be read before they can get an order. */
    enginesNeedingReport(engines: readonly EngineState[], now: Instant): readonly TargetId[] {
        return engines.filter(engine => {
            const state = this.orderStateOf(engine);
            const model = this.shares.modelOf(engine.target);
            const isBehind = model !== undefined && (this.versionsBehindOf(engine, model) ?? 0) > 0;
            return isBehind && state.accepted === undefined && state.orderInFlight === undefined
                && state.notBefore <= now;
        }).map(({ target }) => target);
    }

    /** Records an engine's own report: its versions, how many orders it has accepted, and whether it executes one. */
    recordReport(engine: EngineState, accepted: number, isBusy: boolean, now: Instant): void {
        const state = this.orderStateOf(engine);
        state.accepted = isBusy ? undefined : accepted;
        state.notBefore = after(now, isBusy ? retryDelayMs : 0);
        for (const change of [...state.changes.values()]) {
            if (isBusy) {
                change.readyAt = Math.max(change.readyAt, after(now, retryDelayMs)) as Instant;
            }
            else if ((listedVersion(engine, change.model) ?? 0) < change.version) {
                state.changes.delete(change.model);
            }
        }
    }

    /** Records that an engine's report could not be read; it is due again after `retryDelayMs`. */
    recordReportFailure(target: TargetId, now: Instant): void {
        const state = this.orderStates.get(target);
        if (state !== undefined) {
            state.notBefore = after(now, retryDelayMs);
        }
    }

    /** Whether the engine is changing, or was within the last `slackMs`. */
    isPaused(target: TargetId, now: Instant, slackMs = pauseSlackMs): boolean {
        const state = this.orderStates.get(target);
        return state !== undefined
            && (state.orderInFlight !== undefined
                || [...state.changes.values()].some(({ readyAt }) => now < readyAt + slackMs));
    }

    /** When engines with accepted changes should serve again. */
    readyTimes(): readonly Instant[] {
        return [...this.orderStates.values()].flatMap(({ changes }) =>
            [...changes.values()].map(({ readyAt }) => readyAt)
        );
    }

    /**
     * Records that an engine refused work because it is still changing; it gets no work of the model before `until`.
     */
    recordStillChanging(target: TargetId, model: string, until: Instant): void {
        const change = this.orderStates.get(target)?.changes.get(model);
        if (change !== undefined) {
            change.readyAt = Math.max(change.readyAt, until) as Instant;
        }
    }

    /**
     * Records the version that an engine's answer shows. If it is lower than the accepted one, the order had no effect.
     */
    recordServedVersion(engine: EngineState, model: string, version: WeightVersion): void {
        const state = this.orderStateOf(engine);
        const change = state.changes.get(model);
        if (change !== undefined && version < change.version) {
            state.changes.delete(model);
            state.accepted = undefined;
        }
    }

    private orderFor(
        engine: EngineState,
        now: Instant,
    ): { order: VersionOrder; behind: number; running: number; } | undefined {
        const model = this.shares.modelOf(engine.target);
        const state = this.orderStateOf(engine);
        const behind = model === undefined ? undefined : this.versionsBehindOf(engine, model);
        if (model === undefined || behind === undefined || behind === 0) {
            return undefined;
        }
        if (state.accepted === undefined || state.notBefore > now || this.isPaused(engine.target, now, 0)) {
            return undefined;
        }
        const { target, incarnation, running } = engine;
        const version = this.named.get(model)!;
        return { order: { target, incarnation, model, version, expectedOrders: state.accepted }, behind, running };
    }

    /** Number of versions that the engine is behind, with accepted changes counted as done. */
    private versionsBehindOf(engine: EngineState, model: string): number | undefined {
        const version = listedVersion(engine, model);
        const ordered = this.orderStateOf(engine).changes.get(model)?.version ?? 0;
        const named = this.named.get(model);
        return version === undefined || named === undefined
            ? undefined
            : versionsBehind(Math.max(version, ordered) as WeightVersion, named);
    }

    private orderStateOf({ target, incarnation }: EngineState): EngineOrderState {
        const known = this.orderStates.get(target);
        if (known?.incarnation === incarnation) {
            return known;
        }
        const state: EngineOrderState = {
            incarnation,
            changes: new Map(),
            orderInFlight: undefined,
            accepted: undefined,
            notBefore: 0 as Instant,
        };
        this.orderStates.set(target, state);
        return state;
    }
}

function listedVersion({ models }: EngineState, model: string): WeightVersion | undefined {
    return models.find(known => known.model === model)?.version;
}
