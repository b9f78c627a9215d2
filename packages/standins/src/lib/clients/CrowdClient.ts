/** A client that writes raw bytes to a server, at its own pace and with or without reading the answers. */

import { connect, type Socket } from "node:net";

/** How a client behaves on its connection. */
export interface CrowdClientOptions {
    readonly port: number;
    /** The bytes that it sends, in this order; it sends no end of the connection after them. */
    readonly pieces: Iterable<Buffer>;
    /** Milliseconds between pieces; without it, a piece follows as soon as the connection takes it. */
    readonly pieceDelayMs?: number;
    /** Whether it reads answers: not at all, in small steps, or as they arrive. */
    readonly reads: "never" | "slowly" | "always";
}

/** Bytes of one step of a slow reader, and milliseconds between two. */
const slowRead = { bytes: 256, intervalMs: 50 } as const;

/** One connection of a crowd. */
export class CrowdClient {
    private readonly socket: Socket;
    private readTimer: NodeJS.Timeout | undefined;
    private sentAll = false;
    /** Why the connection ended, if it failed. */
    failure: Error | undefined;

    constructor(private readonly options: CrowdClientOptions) {
        this.socket = connect({ host: "127.0.0.1", port: options.port, noDelay: true });
        this.socket.on("error", err => this.failure = err);
        const readers: Record<CrowdClientOptions["reads"], () => void> = {
            always: () => void this.socket.resume(),
            never: () => undefined,
            slowly: () => {
                this.readTimer = setInterval(() => void this.socket.read(slowRead.bytes), slowRead.intervalMs);
            },
        };
        this.socket.once("connect", () => {
            readers[options.reads]();
            void this.send();
        });
    }

    /** Bytes that the connection took so far. */
    get sentBytes(): number {
        return this.socket.bytesWritten - this.socket.writableLength;
    }

    /** Whether nothing is left to send. */
    get isDone(): boolean {
        return this.socket.destroyed || this.sentAll && this.socket.writableLength === 0;
    }

    close(): void {
        clearInterval(this.readTimer);
        this.socket.destroy();
    }

    private async send(): Promise<void> {
        for (const piece of this.options.pieces) {
            if (this.socket.destroyed) {
                return;
            }
            if (!this.socket.write(piece)) {
                await this.hasRoom();
            }
            if (this.options.pieceDelayMs !== undefined) {
                await new Promise(done => setTimeout(done, this.options.pieceDelayMs));
            }
        }
        this.sentAll = true;
    }

    private hasRoom(): Promise<void> {
        return new Promise(done => {
            const end = (): void => {
                this.socket.off("drain", end);
                this.socket.off("close", end);
                done();
            };
            this.socket.once("drain", end);
            this.socket.once("close", end);
        });
    }
}
