/**
 * What one host believes of the platform's documents: the configuration in force, the targets and the named weight
 * versions, each with its age. A configuration and a version never go back.
 */

import {
    type Clock,
    type OperatorView,
    type RouteConfig,
    RouteTable,
    TargetDirectory,
    type TargetEntryView,
    type WeightVersion,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { type Journal } from "./Journal.js";

/** What may change. */
export interface HostViewEvents {
    readonly changed: undefined;
}

/** Keeps a host's view. */
export class HostView {
    readonly events = new Emittery<HostViewEvents>();
    readonly directory = new TargetDirectory();
    readonly versions = new Map<string, WeightVersion>();
    private table: RouteTable | undefined;
    private retiringHosts: readonly string[] = [];
    private number = 0;

    constructor(private readonly clock: Clock, private readonly journal: Journal) {}

    get routes(): RouteTable | undefined {
        return this.table;
    }

    get retiring(): readonly string[] {
        return this.retiringHosts;
    }

    /** Rises with each change. */
    get revision(): number {
        return this.number;
    }

    /** Milliseconds since the documents were read, here or at the conductor. */
    get ageMs(): number | undefined {
        const { readAt } = this.directory;
        return readAt === undefined ? undefined : this.clock.now() - readAt;
    }

    /** The operators' part, as it is handed to other hosts. */
    get operator(): OperatorView {
        const versions = [...this.versions].map(([model, version]) => ({ model, version }));
        return { config: this.table?.config, versions, retiring: this.retiringHosts };
    }

    takeOperator({ config, versions, retiring }: OperatorView, source: "store" | "conductor"): void {
        let changed = retiring.join() !== this.retiringHosts.join();
        this.retiringHosts = retiring;
        changed = this.takeConfig(config, source) || changed;
        for (const { model, version } of versions) {
            if (version > (this.versions.get(model) ?? 0)) {
                this.versions.set(model, version);
                this.journal.log("version-named", { model, version, source });
                changed = true;
            }
        }
        this.announce(changed);
    }

    /** Takes the targets as read from the store at this host, or `ageMs` ago at the conductor. */
    takeTargets(targets: readonly TargetEntryView[], ageMs: number | undefined): void {
        const now = this.clock.now();
        const ids = ageMs === undefined
            ? this.directory.applySnapshot(targets, now)
            : this.directory.adoptSnapshot(targets, (now - ageMs) as typeof now);
        if (ids.length > 0) {
            const states = ids.map(id => {
                const entry = this.directory.get(id);
                const state = entry === undefined ? "gone" : entry.leaving ? "leaving" : "ready";
                return `${id} ${state} ${entry?.models.map(({ version }) => version).join("+") ?? ""}`.trim();
            });
            this.journal.log("targets-changed", {
                targets: states,
                source: ageMs === undefined ? "store" : "conductor",
            });
        }
        this.announce(ids.length > 0);
    }

    /** Notes that the targets are as they were, `ageMs` ago. */
    confirm(ageMs: number): void {
        this.directory.adoptSnapshot(this.directory.targets, (this.clock.now() - ageMs) as ReturnType<Clock["now"]>);
    }

    private takeConfig(config: RouteConfig | undefined, source: string): boolean {
        if (config === undefined || config.revision <= (this.table?.config.revision ?? -1)) {
            return false;
        }
        this.table = new RouteTable(config);
        this.journal.log("config-in-force", { revision: config.revision, routes: config.routes.length, source });
        return true;
    }

    private announce(changed: boolean): void {
        if (changed) {
            this.number++;
            void this.events.emit("changed");
        }
    }
}
