/** Stand-in for the platform's list of live and leaving hosts, in the form of Prometheus HTTP service discovery. */

import { StandInServer } from "./StandInServer.js";

/** One listed host or target. */
export interface ListedEntry {
    readonly id: string;
    readonly role: "entry" | "engine" | "plain" | "scorer";
    readonly zone: string;
    readonly address: string;
    readonly pool?: string;
    readonly incarnation?: number;
    readonly leaving?: boolean;
}

/** A host list that tests change by hand. */
export class HostListStandIn {
    private readonly entries = new Map<string, ListedEntry>();
    /** Refuses every call. */
    isDown = false;
    /** Calls so far. */
    reads = 0;
    /** Finds the address of an entry as one viewer reaches it; the viewer is the last part of the path. */
    addressFor: (viewer: string, entry: ListedEntry) => Promise<string> = (unusedViewer, entry) =>
        Promise.resolve(entry.address);
    /** What is served while the list is held back; it then lags. */
    private heldBack: readonly ListedEntry[] | undefined;

    private constructor(readonly server: StandInServer) {
        server.app.get(["/hosts", "/hosts/:viewer"], async (req, res) => {
            this.reads++;
            if (this.isDown) {
                res.destroy();
                return;
            }
            const viewer = req.params["viewer"];
            const entries = this.heldBack ?? [...this.entries.values()];
            res.json(await Promise.all(entries.map(entry => this.toListed(entry, viewer))));
        });
    }

    static async start(port = 0): Promise<HostListStandIn> {
        const server = new StandInServer();
        const standIn = new HostListStandIn(server);
        await server.listen(port);
        return standIn;
    }

    set(entry: ListedEntry): void {
        this.entries.set(entry.id, entry);
    }

    get(id: string): ListedEntry | undefined {
        return this.entries.get(id);
    }

    remove(id: string): void {
        this.entries.delete(id);
    }

    /** Marks an entry as leaving. */
    markLeaving(id: string): void {
        const entry = this.entries.get(id);
        if (entry !== undefined) {
            this.entries.set(id, { ...entry, leaving: true });
        }
    }

    /** Serves the present list until `release`, whatever changes. */
    pauseUpdates(): void {
        this.heldBack = [...this.entries.values()];
    }

    resumeUpdates(): void {
        this.heldBack = undefined;
    }

    close(): Promise<void> {
        return this.server.close();
    }

    private async toListed(entry: ListedEntry, viewer: string | string[] | undefined): Promise<object> {
        return {
            targets: [typeof viewer === "string" ? await this.addressFor(viewer, entry) : entry.address],
            labels: {
                id: entry.id,
                role: entry.role,
                zone: entry.zone,
                pool: entry.pool ?? "",
                incarnation: String(entry.incarnation ?? 1),
                state: entry.leaving === true ? "leaving" : "live",
            },
        };
    }
}
