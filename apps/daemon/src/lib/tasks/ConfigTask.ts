/**
 * Keeps configuration documents and other shared entries in force on this host. They come from the key-value service,
 * from peers and from the disk of a host that has one; only higher numbers are taken, whichever way they came.
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

/** Follows the shared entries. */
export class ConfigTask implements Task {
    readonly name = "config";
    private readonly sight = new StoreReadTracker();
    private readonly book: SharedEntryRegistry;
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
        this.book = new SharedEntryRegistry([this.configSource(), ...sources]);
        this.folder = dataFolder === undefined ? undefined : new ConfigFolder(dataFolder);
        const take = (entries: readonly SharedEntry[]): boolean => this.take(entries);
        this.gossip = new SharedGossip(ctx, members, this.book, this.sight, take);
        this.followers = this.book.sources.map(({ prefix }) =>
            new StoreFollower(ctx, members, this.sight, prefix, {
                take,
                compare: (read, entries) => {
                    if (read === configPrefix) {
                        ctx.config.compareWithStore(new Map(entries.map(({ key, value }) => [key, value])));
                    }
                },
                deleted: key => ctx.log("config").error("A key was deleted; its last value stays in force.", { key }),
            })
        );
    }

    async start(): Promise<void> {
        await this.readFolder();
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
            storeAgeMs: this.sight.ageMs(this.ctx.clock.now()),
            followers: this.followers.map(follower => follower.dump()),
            folderFailure: this.folderFailure,
        };
    }

    private take(entries: readonly SharedEntry[]): boolean {
        entries.forEach(entry => this.book.offer(entry));
        return entries.every(({ key, text }) => this.book.entries([key])[0]?.text === text);
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
            this.ctx.log("config").info("A revision is in force.", { name, revision });
            void this.ctx.bus.emit("configApplied", outcome.doc);
            this.gossip.announce(entry.key);
            void this.keep(entry);
        }
        else if (outcome.reason === "ill-formed") {
            const { findings } = outcome;
            this.ctx.log("config").error("A document is ill-formed; the last good one stays in force.", { findings });
        }
        return outcome.taken;
    }

    private async readFolder(): Promise<void> {
        try {
            (await this.folder?.read() ?? []).forEach(entry => this.book.offer(entry));
        }
        catch (err) {
            this.noteFolderFailure(err);
        }
    }

    private async keep(entry: SharedEntry): Promise<void> {
        try {
            await this.folder?.write(entry);
        }
        catch (err) {
            this.noteFolderFailure(err);
        }
    }

    private noteFolderFailure(err: unknown): void {
        this.folderFailure = String(err);
        this.ctx.log("config").error("The data folder cannot be used.", { err: this.folderFailure });
    }
}
