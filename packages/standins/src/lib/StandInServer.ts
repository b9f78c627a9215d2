/** The HTTP server that the stand-ins are built on: it listens on loopback and resets its open connections on close. */

import express from "express";
import { createServer, type Server } from "node:http";
import { type AddressInfo, type Socket } from "node:net";

const maxBodySize = "64mb";

/** An express app on a loopback port. */
export class StandInServer {
    readonly app = express();
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    constructor() {
        this.app.disable("x-powered-by");
        this.app.use(express.json({ limit: maxBodySize }));
        this.server = createServer(this.app);
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    /** Starts to listen; port 0 selects a free port. */
    listen(port = 0): Promise<this> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => resolve(this));
        });
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    get url(): string {
        return `http://${this.address}`;
    }

    /** Resets every open connection. */
    resetConnections(): void {
        for (const socket of this.sockets) {
            socket.resetAndDestroy();
        }
    }

    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.resetConnections();
        });
    }
}
