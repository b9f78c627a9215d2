/**
 * Keeps this host's configuration documents and other shared entries up to date. They come from the key-value service,
 * from peers and, on a host with a data folder, from disk. An entry is accepted only when its number, which is a
 * configuration's revision or a weight version, is higher than the one in force, regardless of its source.
 */

import {
    configPrefix,
    type SharedEntry,
    SharedEntryRegistry,
    type SharedEntrySource,
    StoreReadTracker,
    versionPrefix,
} from "@tamarackpath/core";
import { type Context, type Task } from "../Context.js";
import { ConfigFolder } from "../shared/ConfigFolder.js";
import { SharedGossip } from "../shared/SharedGossip.js";
import { StoreFollower } from "../shared/StoreFollower.js";
import { type MembershipTask } from "./MembershipTask.js";

/** Receives, applies and distributes the shared entries. */
export class ConfigTask implements Task {
    readonly name = "config";
    private readonly storeReadTracker = new StoreReadTracker();
    private readonly registry: SharedEntryRegistry;
    private readonly gossip: SharedGossip;
    private readonly followers: readonly StoreFollower[];
    private readonly folder: ConfigFolder | undefined;
    private folderFailure: string | undefined;

    constructor(
        private readonly ctx: Context,
        members: MembershipTask,
        sources: readonly SharedEntrySource[],
        dataFolder?: string,
    ) {
        this.registry = new SharedEntryRegistry([this.configSource(), ...sources]);
        this.folder = dataFolder === undefined ? undefined : new ConfigFolder(dataFolder);
        const offer = (entries: readonly SharedEntry[]): boolean => this.offerAll(entries);
        this.gossip = new SharedGossip(ctx, members, this.registry, this.storeReadTracker, offer);
        this.followers = this.registry.sources.map(({ prefix }) =>
            new StoreFollower(ctx, members, this.storeReadTracker, prefix, {
                offer,
                onFullRead: (read, entries) => {
                    if (read === configPrefix) {
                        ctx.config.compareWithStore(new Map(entries.map(({ key, value }) => [key, value])));
                    }
                },
                onDeleted: key => ctx.log("config").error("A key was deleted; its last value stays in force.", { key }),
            })
        );
    }

    async start(): Promise<void> {
        await this.loadFolder();
        this.ctx.bus.on("versionPublished", ({ service }) => this.gossip.announce(`${versionPrefix}${service}`));
        this.gossip.start();
        this.followers.forEach(follower => follower.start());
    }

    stop(): void {
        this.gossip.stop();
        this.followers.forEach(follower => follower.stop());
    }

    dump(): unknown {
        return {
            revisions: this.ctx.config.revisions(),
            findings: this.ctx.config.findings(),
            storeAgeMs: this.storeReadTracker.ageMs(this.ctx.clock.now()),
            followers: this.followers.map(follower => follower.dump()),
            folderFailure: this.folderFailure,
        };
    }

    /** Offers every entry; returns whether all of them are in force afterwards. */
    private offerAll(entries: readonly SharedEntry[]): boolean {
        entries.forEach(entry => this.registry.offer(entry));
        return entries.every(({ key, text }) => this.registry.entries([key])[0]?.text === text);
    }

    private configSource(): SharedEntrySource {
        const { config } = this.ctx;
        return {
            prefix: configPrefix,
            numbers: () =>
                new Map(config.revisions().map(({ name, revision }) => [`${configPrefix}${name}`, revision])),
            text: key => config.text(key),
            offer: entry => this.offerConfig(entry),
        };
    }

    private offerConfig(entry: SharedEntry): boolean {
        const outcome = this.ctx.config.offer(entry.key, entry.text, this.ctx.clock.now());
        if (outcome.taken) {
            const { name, revision } = outcome.doc;
            this.ctx.log("config").info("A configuration revision is in force.", { name, revision });
            void this.ctx.bus.emit("configApplied", outcome.doc);
            this.gossip.announce(entry.key);
            void this.persist(entry);
        }
        else if (outcome.reason === "ill-formed") {
            const { findings } = outcome;
            this.ctx.log("config").error("A configuration document is malformed; the last valid one stays in force.", {
                findings,
            });
        }
        return outcome.taken;
    }

    private async loadFolder(): Promise<void> {
        try {
            (await this.folder?.read() ?? []).forEach(entry => this.registry.offer(entry));
        }
        catch (err) {
            this.recordFolderFailure(err);
        }
    }

    private async persist(entry: SharedEntry): Promise<void> {
        try {
            await this.folder?.write(entry);
        }
        catch (err) {
            this.recordFolderFailure(err);
        }
    }

    private recordFolderFailure(err: unknown): void {
        this.folderFailure = String(err);
        this.ctx.log("config").error("Cannot use the data folder.", { err: this.folderFailure });
    }
}
