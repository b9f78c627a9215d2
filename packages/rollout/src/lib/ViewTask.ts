/**
 * Keeps a host's view fresh with few calls to the store: the conductor reads the documents several times in two seconds
 * and the other hosts wait at the conductor for changes. A host whose view has grown old reads the documents itself.
 */

import {
    after,
    type Clock,
    type HostId,
    type PeerNetwork,
    type PlatformDocuments,
    sleepUntil,
} from "@tamarackpath/core";
import { Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { type HostView } from "./HostView.js";
import { type RolloutSettings } from "./RolloutSettings.js";

/** What a view task needs. */
export interface ViewTaskOptions {
    readonly settings: RolloutSettings;
    /** Hosts that may know the conductor when the store cannot be asked. */
    readonly seeds: readonly HostId[];
}

/** Milliseconds that a pull waits at the conductor for a change. */
const pullWaitMs = 800;

/** Milliseconds beyond the wait within which the conductor must have answered. */
const pullSlackMs = 600;

/** Milliseconds between rounds in which nothing could be learnt. */
const roundMs = 100;

/** Runs the loops of a host's view. */
export class ViewTask {
    private stopped = false;
    /** The conductor's number of the view taken last, and whose number it is. */
    private taken: { readonly host: HostId; readonly number: number; } | undefined;

    constructor(
        private readonly options: ViewTaskOptions,
        private readonly view: HostView,
        private readonly conductor: ConductorTask,
        private readonly documents: PlatformDocuments,
        private readonly peers: PeerNetwork,
        private readonly clock: Clock,
    ) {
        peers.handle("view-pull", async ({ have }) => {
            await this.waitForChange(have);
            const { revision, ageMs, operator } = view;
            const content = revision === have ? undefined : { operator, targets: view.directory.targets };
            return Right({ number: revision, ageMs: conductor.isConductor ? ageMs : undefined, content });
        });
        peers.handle("conductor-ask", async () => Right({ conductor: conductor.conductor }));
    }

    start(): void {
        void this.followLoop();
        void this.readLoop();
    }

    stop(): void {
        this.stopped = true;
    }

    /** Reads the documents while this host conducts, or while what it has is old. */
    private async readLoop(): Promise<void> {
        const { pollMs, staleViewMs } = this.options.settings;
        while (!this.stopped) {
            if (this.conductor.isConductor || (this.view.ageMs ?? Infinity) > staleViewMs) {
                await Promise.all([this.readOperator(), this.readTargets()]);
            }
            await sleepUntil(this.clock, after(this.clock.now(), pollMs));
        }
    }

    private async readOperator(): Promise<void> {
        (await this.documents.readOperator()).ifRight(read => this.view.takeOperator(read, "store"));
    }

    private async readTargets(): Promise<void> {
        (await this.documents.readTargets()).ifRight(read => this.view.takeTargets(read, undefined));
    }

    /** Waits at the conductor for changes, and looks for a conductor when it is not heard. */
    private async followLoop(): Promise<void> {
        let missed = 0;
        while (!this.stopped) {
            const host = this.conductor.conductor;
            if (this.conductor.isConductor) {
                await sleepUntil(this.clock, after(this.clock.now(), roundMs));
                continue;
            }
            const heard = host !== undefined && await this.pull(host);
            missed = heard ? 0 : missed + 1;
            if (!heard) {
                await this.conductor.lookUp();
                await this.askSeeds();
                if (missed > 1) {
                    await sleepUntil(this.clock, after(this.clock.now(), roundMs));
                }
            }
        }
    }

    private async pull(host: HostId): Promise<boolean> {
        this.peers.setAddress(host, host);
        const have = this.taken?.host === host ? this.taken.number : -1;
        const deadline = after(this.clock.now(), pullWaitMs + pullSlackMs);
        const res = await this.peers.ask(host, "view-pull", { have }, deadline);
        const shared = res.toMaybe().chain(answer => answer.toMaybe()).extract();
        if (shared?.ageMs === undefined) {
            return false;
        }
        this.taken = { host, number: shared.number };
        if (shared.content === undefined) {
            this.view.confirm(shared.ageMs);
        }
        else {
            this.view.takeOperator(shared.content.operator, "conductor");
            this.view.takeTargets(shared.content.targets, shared.ageMs);
        }
        return true;
    }

    private async askSeeds(): Promise<void> {
        for (const seed of this.options.seeds) {
            if (this.conductor.conductor !== undefined || this.conductor.isConductor) {
                return;
            }
            this.peers.setAddress(seed, seed);
            const res = await this.peers.ask(seed, "conductor-ask", {}, after(this.clock.now(), pullSlackMs));
            this.conductor.takeWord(res.toMaybe().chain(answer => answer.toMaybe()).extract()?.conductor);
        }
    }

    private waitForChange(have: number): Promise<void> {
        if (this.view.revision !== have) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const off = this.view.events.on("changed", () => finish());
            const cancel = this.clock.callAt(after(this.clock.now(), pullWaitMs), () => finish());
            const finish = (): void => {
                off();
                cancel();
                resolve();
            };
        });
    }
}
