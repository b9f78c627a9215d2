/**
 * One host's view of the platform's documents: the configuration in force, the targets and the named weight versions.
 * The revision of a configuration and the number of a version never decrease.
 */

import {
    type Clock,
    type Instant,
    type OperatorView,
    ReleaseTracker,
    type RouteConfig,
    RouteTable,
    TargetDirectory,
    type TargetEntryView,
    TargetSoftware,
    type WeightVersion,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { type Journal } from "./Journal.js";

/** Events of a view. */
export interface HostViewEvents {
    readonly changed: undefined;
    /** The entries of targets that have restarted under their id. */
    readonly restarted: readonly TargetEntryView[];
}

/** Holds the view of one host and applies changes to it. */
export class HostView {
    readonly events = new Emittery<HostViewEvents>();
    readonly directory = new TargetDirectory();
    readonly software = new TargetSoftware();
    readonly releases = new ReleaseTracker();
    readonly versions = new Map<string, WeightVersion>();
    private routeTable: RouteTable | undefined;
    private retiringHosts: readonly string[] = [];
    private number = 0;
    private readStartedAt: Instant | undefined;
    private configProof: Instant | undefined;

    constructor(private readonly clock: Clock, private readonly journal: Journal) {}

    get routes(): RouteTable | undefined {
        return this.routeTable;
    }

    /** Whether the configuration in force has organisations. */
    get hasOrganisations(): boolean {
        return this.routeTable?.organisations !== undefined;
    }

    get retiring(): readonly string[] {
        return this.retiringHosts;
    }

    /** Increases with each change. */
    get revision(): number {
        return this.number;
    }

    /** Milliseconds since the documents were read, here or at the conductor. */
    get ageMs(): number | undefined {
        const { readAt } = this.directory;
        return readAt === undefined ? undefined : this.clock.now() - readAt;
    }

    /**
     * A time at which the configuration in force here was still the newest one in the store, by this host's clock; undefined
     * before the first proof.
     */
    get configProvenAt(): Instant | undefined {
        return this.configProof;
    }

    /** Records that the configuration in force here was still the newest one at `provenAt`. */
    recordConfigProof(provenAt: Instant): void {
        this.configProof = Math.max(provenAt, this.configProof ?? provenAt) as Instant;
    }

    /**
     * Applies a read or watch of the operators' documents that began at `startedAt` and brought all of them. It proves the
     * configuration in force only if that is the one in the store: after a document that cannot be decoded, the older
     * configuration stays in force and its proof ages.
     */
    applyOperatorRead(read: OperatorView, startedAt: Instant): void {
        this.applyOperator(read, "store");
        if (read.config !== undefined && read.config.revision === this.routeTable?.config.revision) {
            this.recordConfigProof(startedAt);
        }
    }

    /** The operators' documents, as they are sent to other hosts. */
    get operator(): OperatorView {
        const versions = [...this.versions].map(([model, version]) => ({ model, version }));
        return { config: this.routeTable?.config, versions, retiring: this.retiringHosts };
    }

    applyOperator({ config, versions, retiring }: OperatorView, source: "store" | "conductor"): void {
        let hasChanged = retiring.join() !== this.retiringHosts.join();
        this.retiringHosts = retiring;
        hasChanged = this.applyConfig(config, source) || hasChanged;
        for (const { model, version } of versions) {
            if (version > (this.versions.get(model) ?? 0)) {
                this.versions.set(model, version);
                this.journal.log("version-named", { model, version, source });
                hasChanged = true;
            }
        }
        this.emitIfChanged(hasChanged);
    }

    /**
     * Milliseconds since the read of the targets began, here or at the conductor. The targets are at least as new as
     * that, whereas `ageMs` is counted from the end of the read.
     */
    get readAgeMs(): number | undefined {
        return this.readStartedAt === undefined ? undefined : this.clock.now() - this.readStartedAt;
    }

    /**
     * Applies targets that this host read from the store, or that the conductor read `ageMs` milliseconds ago, in a read
     * that began at `startedAt` or later.
     */
    applyTargets(
        targets: readonly TargetEntryView[],
        ageMs: number | undefined,
        startedAt: Instant = (this.clock.now() - (ageMs ?? 0)) as Instant,
    ): void {
        const now = this.clock.now();
        this.readStartedAt = startedAt;
        const ids = ageMs === undefined
            ? this.directory.applySnapshot(targets, now)
            : this.directory.adoptSnapshot(targets, (now - ageMs) as typeof now);
        const restarted = this.software.observe(this.directory.targets, startedAt);
        if (ids.length > 0) {
            this.releases.observe(this.directory.targets, now);
            const states = ids.map(id => {
                const entry = this.directory.get(id);
                const state = entry === undefined ? "gone" : entry.leaving ? "leaving" : "ready";
                const weights = entry?.models.map(({ version }) => version).join("+") ?? "";
                return `${id} ${state} ${weights} ${entry?.software ?? ""}`.trim();
            });
            this.journal.log("targets-changed", {
                targets: states,
                source: ageMs === undefined ? "store" : "conductor",
            });
        }
        if (restarted.length > 0) {
            void this.events.emit("restarted", restarted);
        }
        this.emitIfChanged(ids.length > 0);
    }

    /** Records that the conductor read the same targets `ageMs` milliseconds ago, in a read that began at `startedAt`. */
    confirmTargets(ageMs: number, startedAt: Instant): void {
        const { directory } = this;
        directory.adoptSnapshot(directory.targets, (this.clock.now() - ageMs) as Instant);
        this.readStartedAt = startedAt;
        // The heartbeats that this host knows are those of an earlier read.
        this.software.observe(directory.targets.map(entry => ({ ...entry, heartbeats: undefined })), startedAt);
    }

    /**
     * Records that this incarnation of a target said in an answer that it is leaving; until `servesUntil` it is used if there
     * is no other target.
     */
    recordLeaving(entry: TargetEntryView, servesUntil: Instant): void {
        if (this.directory.recordLeaving(entry, servesUntil)) {
            this.journal.log("target-leaving", {
                target: entry.target,
                incarnation: entry.incarnation,
                servesForMs: servesUntil - this.clock.now(),
                viewAgeMs: this.ageMs,
            });
            this.emitIfChanged(true);
        }
    }

    private applyConfig(config: RouteConfig | undefined, source: string): boolean {
        const current = this.routeTable?.config;
        if (config === undefined || config.revision < (current?.revision ?? -1)) {
            return false;
        }
        // A conductor of earlier software passes on the same revision without its organisations.
        const addsOrganisations = current?.organisations === undefined && config.organisations !== undefined;
        if (config.revision === current?.revision && !addsOrganisations) {
            return false;
        }
        this.routeTable = new RouteTable(config);
        this.journal.log("config-in-force", { revision: config.revision, routes: config.routes.length, source });
        return true;
    }

    private emitIfChanged(hasChanged: boolean): void {
        if (hasChanged) {
            this.number++;
            void this.events.emit("changed");
        }
    }
}
