/**
 * Continuous load from callers, behind a simple load balancer that skips hosts that are not ready. The callers count
 * the outcomes of their requests, and scenarios compare these counts with those of the targets.
 */

import { type Problem } from "@tamarackpath/core";
import { type DaemonProcess, type Fleet, fleetService, fleetToken } from "@tamarackpath/standins";

/** The outcomes of the callers' requests. */
export interface LoadResults {
    /** Requests with a complete answer. */
    answered: number;
    /** Streams that ended complete. */
    streamed: number;
    /** Confirmed orders. */
    readonly confirmed: string[];
    /** Problems which state that the request did not run. */
    readonly refused: Problem[];
    /** Descriptions of requests that were cut off, that got a wrong answer, or whose outcome is unknown. */
    readonly broken: string[];
}

interface CallResult {
    readonly status: number;
    readonly text: string;
}

const balancerPollIntervalMs = 100;
const requestIntervalMs = 10;
const connectionRefusedCode = "ECONNREFUSED";

/** Generates load on the answer service of a fleet. */
export class BackgroundLoad {
    readonly results: LoadResults = { answered: 0, streamed: 0, confirmed: [], refused: [], broken: [] };
    private ready: readonly DaemonProcess[] = [];
    private requestCount = 0;
    private stopped = false;
    private readonly running: Promise<void>[] = [];

    constructor(private readonly fleet: Fleet, private readonly zone: string | undefined) {}

    /** Starts the given number of callers of each kind; each sends one request at a time. */
    async start(quoteCallers: number, orderCallers: number, streamCallers: number): Promise<void> {
        await this.pollReadiness();
        this.running.push(this.pollReadinessPeriodically());
        const callers = [
            ...Array.from({ length: quoteCallers }, () => () => this.quote()),
            ...Array.from({ length: orderCallers }, () => () => this.order()),
            ...Array.from({ length: streamCallers }, () => () => this.stream()),
        ];
        this.running.push(...callers.map(send => this.repeat(send)));
    }

    /** Stops sending, and waits for the requests in flight. */
    async stop(): Promise<LoadResults> {
        this.stopped = true;
        await Promise.all(this.running);
        return this.results;
    }

    private async repeat(send: () => Promise<void>): Promise<void> {
        while (!this.stopped) {
            await send();
            await new Promise(resolve => setTimeout(resolve, requestIntervalMs));
        }
    }

    private async pollReadinessPeriodically(): Promise<void> {
        while (!this.stopped) {
            await new Promise(resolve => setTimeout(resolve, balancerPollIntervalMs));
            await this.pollReadiness();
        }
    }

    private async pollReadiness(): Promise<void> {
        const hosts = this.fleet.daemons.filter(({ zone }) => this.zone === undefined || zone === this.zone);
        const states = await Promise.all(hosts.map(async host => ({ host, isReady: await host.isReady() })));
        this.ready = states.filter(({ isReady }) => isReady).map(({ host }) => host);
    }

    private next(): { readonly number: number; readonly url: string; } | undefined {
        this.requestCount++;
        const host = this.ready[this.requestCount % Math.max(1, this.ready.length)];
        return host === undefined ? undefined : {
            number: this.requestCount,
            url: `${host.callerUrl}/v1/services/${fleetService.desk}`,
        };
    }

    private async quote(): Promise<void> {
        const target = this.next();
        const echo = `echo-${target?.number}`;
        const res = await this.send(target && `${target.url}/calls/quotes/kerb?echo=${echo}`, "GET");
        this.recordResult(res, text => {
            const isOwn = (JSON.parse(text) as { echo: string; }).echo === echo;
            this.results.answered += isOwn ? 1 : 0;
            return isOwn;
        });
    }

    private async order(): Promise<void> {
        const target = this.next();
        const order = `order-${target?.number}`;
        const issued = await this.send(target && `${target.url}/tickets`, "POST");
        if (issued === undefined || issued.status >= 400) {
            this.recordResult(issued, () => true);
            return;
        }
        const { ticket } = JSON.parse(issued.text) as { ticket: string; };
        const res = await this.send(target && `${target.url}/calls/orders`, "POST", { order }, {
            "tamarack-ticket": ticket,
        });
        this.recordResult(res, text => {
            this.results.confirmed.push(order);
            return (JSON.parse(text) as { order: string; }).order === order;
        });
    }

    private async stream(): Promise<void> {
        const target = this.next();
        const body = { prompt: `stream ${target?.number} [tokens=150]`, max_tokens: 150, stream: true };
        const res = await this.send(target && `${target.url}/completions`, "POST", body);
        this.recordResult(res, text => {
            const isWhole = text.endsWith("data: [DONE]\n\n") && !text.includes("event: error");
            this.results.streamed += isWhole ? 1 : 0;
            return isWhole;
        });
    }

    /**
     * Returns undefined without a ready host, and when the request fails. A failure other than a refused connection
     * counts as broken; a refused connection proves that nothing was sent.
     */
    private async send(
        url: string | undefined,
        method: string,
        body?: object,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<CallResult | undefined> {
        if (url === undefined) {
            return undefined;
        }
        try {
            const res = await fetch(url, {
                method,
                headers: {
                    authorization: `Bearer ${fleetToken.desk}`,
                    "content-type": "application/json",
                    ...headers,
                },
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            return { status: res.status, text: await res.text() };
        }
        catch (err) {
            const cause = (err as { cause?: { code?: string; message?: string; }; }).cause;
            if (cause?.code === connectionRefusedCode) {
                return undefined;
            }
            this.results.broken.push(`${method} ${url}: ${String(err)} ${cause?.code ?? ""} ${cause?.message ?? ""}`);
            return undefined;
        }
    }

    private recordResult(res: CallResult | undefined, isCorrect: (text: string) => boolean): void {
        if (res === undefined) {
            return;
        }
        if (res.status < 400) {
            if (!isCorrect(res.text)) {
                this.results.broken.push(
                    `incomplete answer, or the answer to another request: ${res.text.slice(-300)}`,
                );
            }
            return;
        }
        const problem = JSON.parse(res.text) as Problem;
        if (problem.run === "not-run") {
            this.results.refused.push(problem);
            return;
        }
        this.results.broken.push(res.text);
    }
}
