/**
 * Stand-in for the network between two ends: a TCP relay on loopback that can refuse new connections, cut the open
 * ones, or let them go silent for good while new ones work.
 */

import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

interface Pair {
    readonly near: Socket;
    readonly far: Socket;
    /** True once no byte passes any more; the end of one side then does not reach the other. */
    silent: boolean;
}

/** A relay to one address. */
export class LinkStandIn {
    /** Destroys new connections at once. */
    refusing = false;
    /** Accepts new connections and passes no byte. */
    swallowing = false;
    private readonly pairs = new Set<Pair>();

    private constructor(private readonly server: Server, private farAddress: string) {}

    static start(farAddress: string, port = 0): Promise<LinkStandIn> {
        const server = createServer();
        const link = new LinkStandIn(server, farAddress);
        server.on("connection", near => link.open(near));
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, "127.0.0.1", () => resolve(link));
        });
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    get url(): string {
        return `http://${this.address}`;
    }

    /** Sends later connections to another address. */
    pointTo(farAddress: string): void {
        this.farAddress = farAddress;
    }

    /** Resets every open connection. */
    cut(): void {
        for (const { near, far } of this.pairs) {
            near.resetAndDestroy();
            far.resetAndDestroy();
        }
    }

    /** Lets the open connections go silent for good; new ones work. */
    stallConnections(): void {
        this.pairs.forEach(silencePair);
    }

    /** Lets the open connections go silent for good, and swallows every byte of new ones until `heal`. */
    swallow(): void {
        this.swallowing = true;
        this.stallConnections();
    }

    /** Refuses new connections and cuts the open ones. */
    disconnect(): void {
        this.refusing = true;
        this.cut();
    }

    /** Lets new connections work; those that went silent stay so. */
    restore(): void {
        this.refusing = false;
        this.swallowing = false;
    }

    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.cut();
        });
    }

    private open(near: Socket): void {
        if (this.refusing) {
            near.resetAndDestroy();
            return;
        }
        const [host, port] = this.farAddress.split(":");
        const far = connect(Number(port), host);
        const pair: Pair = { near, far, silent: false };
        this.pairs.add(pair);
        for (const socket of [near, far]) {
            socket.setNoDelay(true);
            socket.on("error", () => this.drop(pair, socket));
            socket.on("close", () => this.drop(pair, socket));
        }
        near.pipe(far);
        far.pipe(near);
        if (this.swallowing) {
            silencePair(pair);
        }
    }

    private drop(pair: Pair, ended: Socket): void {
        ended.destroy();
        if (pair.near.destroyed && pair.far.destroyed) {
            this.pairs.delete(pair);
        }
        else if (!pair.silent) {
            pair.near.destroy();
            pair.far.destroy();
        }
    }
}

function silencePair(pair: Pair): void {
    pair.silent = true;
    pair.near.unpipe(pair.far);
    pair.far.unpipe(pair.near);
    pair.near.pause();
    pair.far.pause();
}
