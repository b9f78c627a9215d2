/**
 * A connection for one request that must not be repeated. No earlier request has used it, so a target that closes an
 * idle connection cannot leave the outcome of the request unknown. It records whether any byte can have been sent.
 */

import { buildConnector, Client } from "undici";

const connectTimeoutMs = 2000;

/** A connection that carries one request. */
export class OneShotConnection {
    readonly client: Client;
    private wasOpened = false;

    /** Prepares a connection to `url`. Nothing is sent when `signal` aborts before the connection is open. */
    constructor(url: string, private readonly signal: AbortSignal) {
        const connect = buildConnector({ timeout: connectTimeoutMs });
        this.client = new Client(new URL(url).origin, {
            connect: (options, callback) =>
                connect(options, (...result) => {
                    if (result[0] === null && this.signal.aborted) {
                        result[1].destroy();
                        callback(new Error("The request was aborted before its connection was open."), null);
                        return;
                    }
                    this.wasOpened ||= result[0] === null;
                    callback(...result);
                }),
        });
        signal.addEventListener("abort", this.abortConnect);
    }

    /** False while no byte can have reached the target. */
    get mayHaveSent(): boolean {
        return this.wasOpened;
    }

    close(): void {
        this.signal.removeEventListener("abort", this.abortConnect);
        void this.client.destroy();
    }

    private readonly abortConnect = (): void => {
        if (!this.wasOpened) {
            void this.client.destroy();
        }
    };
}
