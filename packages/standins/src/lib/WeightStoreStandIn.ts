/** Stand-in for the weight store: serves weights by version and refuses fetches above a rate limit. */

import { StandInServer } from "./StandInServer.js";

const rateWindowMs = 1000;

/** A rate-limited weight store on loopback. */
export class WeightStoreStandIn {
    fetches = 0;
    refused = 0;
    /** Times of the fetches within the rate window, in milliseconds since the epoch, oldest first. */
    private readonly recentFetches: number[] = [];

    private constructor(readonly server: StandInServer, fetchesPerSecond: number) {
        server.app.get("/weights/:version", (req, res) => {
            const now = Date.now();
            while (this.recentFetches.length > 0 && this.recentFetches[0]! <= now - rateWindowMs) {
                this.recentFetches.shift();
            }
            if (this.recentFetches.length >= fetchesPerSecond) {
                this.refused++;
                res.status(429).setHeader("retry-after", "1").end();
                return;
            }
            this.recentFetches.push(now);
            this.fetches++;
            res.type("application/octet-stream").send(Buffer.from(`weights ${req.params.version}`));
        });
    }

    static async start(fetchesPerSecond: number, port = 0): Promise<WeightStoreStandIn> {
        const server = new StandInServer();
        const standIn = new WeightStoreStandIn(server, fetchesPerSecond);
        await server.listen(port);
        return standIn;
    }

    close(): Promise<void> {
        return this.server.close();
    }
}
