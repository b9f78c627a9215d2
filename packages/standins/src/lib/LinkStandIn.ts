/**
 * Stand-in for a network link: a TCP relay on loopback that can refuse new connections, reset the open ones, or stall
 * the open ones permanently while new ones work.
 */

import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

interface RelayedConnection {
    readonly downstream: Socket;
    readonly upstream: Socket;
    /** True once the connection is stalled: it forwards no bytes, and closing one side does not close the other. */
    silent: boolean;
}

/** A TCP relay to one address. */
export class LinkStandIn {
    /** True while new connections are reset at once. */
    refusing = false;
    /** True while new connections are accepted but forward no bytes. */
    isBlackhole = false;
    private readonly connections = new Set<RelayedConnection>();

    private constructor(private readonly server: Server, private upstreamAddress: string) {}

    static start(upstreamAddress: string, port = 0): Promise<LinkStandIn> {
        const server = createServer();
        const link = new LinkStandIn(server, upstreamAddress);
        server.on("connection", downstream => link.open(downstream));
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

    /** Relays later connections to another address; open ones keep their address. */
    setUpstreamAddress(upstreamAddress: string): void {
        this.upstreamAddress = upstreamAddress;
    }

    /** Resets every open connection. */
    cut(): void {
        for (const { downstream, upstream } of this.connections) {
            downstream.resetAndDestroy();
            upstream.resetAndDestroy();
        }
    }

    /** Stops forwarding on the open connections permanently, without closing them; new connections work. */
    stallConnections(): void {
        this.connections.forEach(stallConnection);
    }

    /** Stalls the open connections permanently, and those opened later until `restore` is called. */
    blackhole(): void {
        this.isBlackhole = true;
        this.stallConnections();
    }

    /** Resets the open connections, and new ones until `restore` is called. */
    disconnect(): void {
        this.refusing = true;
        this.cut();
    }

    /** Lets new connections work again; stalled ones stay stalled. */
    restore(): void {
        this.refusing = false;
        this.isBlackhole = false;
    }

    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.cut();
        });
    }

    private open(downstream: Socket): void {
        if (this.refusing) {
            downstream.resetAndDestroy();
            return;
        }
        const [host, port] = this.upstreamAddress.split(":");
        const upstream = connect(Number(port), host);
        const connection: RelayedConnection = { downstream, upstream, silent: false };
        this.connections.add(connection);
        for (const socket of [downstream, upstream]) {
            socket.setNoDelay(true);
            socket.on("error", () => this.closeSocket(connection, socket));
            socket.on("close", () => this.closeSocket(connection, socket));
        }
        downstream.pipe(upstream);
        upstream.pipe(downstream);
        if (this.isBlackhole) {
            stallConnection(connection);
        }
    }

    private closeSocket(connection: RelayedConnection, ended: Socket): void {
        ended.destroy();
        if (connection.downstream.destroyed && connection.upstream.destroyed) {
            this.connections.delete(connection);
        }
        else if (!connection.silent) {
            connection.downstream.destroy();
            connection.upstream.destroy();
        }
    }
}

function stallConnection(connection: RelayedConnection): void {
    connection.silent = true;
    connection.downstream.unpipe(connection.upstream);
    connection.upstream.unpipe(connection.downstream);
    connection.downstream.pause();
    connection.upstream.pause();
}
