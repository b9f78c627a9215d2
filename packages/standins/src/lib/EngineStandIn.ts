/**
 * Stand-in for a model engine: continuous batching over a limited number of slots, priorities, a prefix cache of limited
 * size, streamed completions with the weight version on every chunk, and weight swaps. Faults are fields of `faults`.
 */

import { type Request, type Response } from "express";
import { completionLength, completionText } from "./completionText.js";
import { PrefixCache } from "./PrefixCache.js";
import { StandInServer } from "./StandInServer.js";

/** Size, speed and interfaces of an engine. */
export interface EngineOptions {
    readonly port: number;
    /** Maximum number of requests in the batch. */
    readonly slots: number;
    /** Duration of a decoding step with one request in the batch, in milliseconds. */
    readonly tokenMs: number;
    /** Fraction of `tokenMs` by which each further request in the batch lengthens the step. */
    readonly batchSlope: number;
    /** Time to prefill 1,000 characters of a prompt whose prefix is not cached, in milliseconds. */
    readonly prefillMs: number;
    /** Capacity of the prefix cache, in prompts. */
    readonly cachedPrompts: number;
    readonly weightVersion: number;
    /** Duration of a weight swap, in milliseconds. */
    readonly swapMs: number;
    /** Lag of the load reports behind the engine's state, in milliseconds. */
    readonly reportLagMs: number;
    /** True when weight orders with an outdated fencing token are refused. */
    readonly checksFencing: boolean;
    /** URL of the weight store; when undefined, a swap fetches nothing. */
    readonly weightStoreUrl: string | undefined;
}

/** Faults of an engine; `POST /faults` changes them. */
export interface EngineFaults {
    /** Factor on the duration of decoding steps and prefills. */
    slowFactor: number;
    /** Stops decoding while connections stay open. */
    frozen: boolean;
    /** Omits the weight version from the chunks. */
    omitVersions: boolean;
    /** Number of tokens after which each stream is aborted. */
    cutAfterTokens: number | undefined;
    /** Number of further swaps that fail partway, which leaves the weights incomplete. */
    failSwaps: number;
    /** Refuses every new request with status 503. */
    refuse: boolean;
    /** Delay before a weight order takes effect, in milliseconds. */
    delayOrdersMs: number;
}

/** A request that waits for a slot or runs in the batch. */
interface EngineRequest {
    readonly id: string;
    readonly prompt: string;
    readonly seed: number;
    readonly length: number;
    readonly maxTokens: number;
    /** Lower values run first. */
    readonly priority: number;
    /** Order of arrival, which breaks ties between equal priorities. */
    readonly serial: number;
    readonly res: Response;
    produced: number;
    prefillUntil: number;
}

/** What an engine itself counted; tests compare it with what the hosts report. */
export interface EngineStats {
    started: number;
    finished: number;
    cancelled: number;
    tokens: number;
    prefixHits: number;
    prefixMisses: number;
    /** Weight orders in the order in which they took effect or were refused. */
    ordersSeen: { version: number; fence: number; refused: boolean; }[];
}

const defaultOptions: EngineOptions = {
    port: 0,
    slots: 8,
    tokenMs: 4,
    batchSlope: 0.04,
    prefillMs: 4,
    cachedPrompts: 64,
    weightVersion: 1,
    swapMs: 50,
    reportLagMs: 500,
    checksFencing: false,
    weightStoreUrl: undefined,
};

/** A model engine on loopback. */
export class EngineStandIn {
    readonly faults: EngineFaults = {
        slowFactor: 1,
        frozen: false,
        omitVersions: false,
        cutAfterTokens: undefined,
        failSwaps: 0,
        refuse: false,
        delayOrdersMs: 0,
    };
    readonly stats: EngineStats = {
        started: 0,
        finished: 0,
        cancelled: 0,
        tokens: 0,
        prefixHits: 0,
        prefixMisses: 0,
        ordersSeen: [],
    };
    version: number;
    /** False during a weight swap and after a failed one. */
    versionWhole = true;
    private readonly running: EngineRequest[] = [];
    private readonly waiting: EngineRequest[] = [];
    private readonly cache: PrefixCache;
    private readonly reports: { at: number; running: number; waiting: number; }[] = [];
    private highestFence = 0;
    private serial = 0;
    private timer: NodeJS.Timeout | undefined;
    private closed = false;

    private constructor(readonly server: StandInServer, private readonly options: EngineOptions) {
        this.version = options.weightVersion;
        this.cache = new PrefixCache(options.cachedPrompts);
        server.app.post("/v1/completions", (req, res) => this.complete(req, res));
        server.app.get("/load", (unusedReq, res) => this.sendReport(res));
        server.app.post("/update_weights_from_disk", (req, res) => void this.updateWeights(req, res));
        server.app.post("/faults", (req, res) => {
            Object.assign(this.faults, req.body);
            res.json(this.faults);
        });
        server.app.get("/account", (unusedReq, res) => void res.json({ ...this.stats, version: this.version }));
    }

    static async start(options: Partial<EngineOptions> = {}): Promise<EngineStandIn> {
        const merged = { ...defaultOptions, ...options };
        const server = new StandInServer();
        const standIn = new EngineStandIn(server, merged);
        await server.listen(merged.port);
        return standIn;
    }

    async close(): Promise<void> {
        this.closed = true;
        clearTimeout(this.timer);
        await this.server.close();
    }

    private complete(req: Request, res: Response): void {
        const body = req.body as Record<string, unknown>;
        if (this.faults.refuse || !this.versionWhole) {
            res.status(503).json({ error: { type: "overloaded", message: "The engine takes no requests now." } });
            return;
        }
        const prompt = String(body["prompt"]);
        const seed = Number(body["seed"] ?? 0);
        const maxTokens = Number(body["max_tokens"] ?? 16);
        const request: EngineRequest = {
            id: String(body["request_id"] ?? `cmpl-${this.serial}`),
            prompt,
            seed,
            maxTokens,
            length: Math.min(maxTokens, completionLength(prompt, seed)),
            priority: Number(body["priority"] ?? 0),
            serial: this.serial++,
            res,
            produced: 0,
            prefillUntil: 0,
        };
        res.setHeader("content-type", "text/event-stream");
        res.flushHeaders();
        res.on("close", () => this.cancel(request));
        this.waiting.push(request);
        this.waiting.sort((a, b) => a.priority - b.priority || a.serial - b.serial);
        this.schedule();
    }

    private cancel(request: EngineRequest): void {
        for (const list of [this.running, this.waiting]) {
            const index = list.indexOf(request);
            if (index >= 0) {
                list.splice(index, 1);
                this.stats.cancelled++;
            }
        }
    }

    private schedule(): void {
        if (this.timer !== undefined || this.closed) {
            return;
        }
        this.fillBatch();
        if (this.running.length === 0) {
            return;
        }
        const stepMs = this.options.tokenMs * (1 + this.options.batchSlope * (this.running.length - 1));
        this.timer = setTimeout(() => {
            this.timer = undefined;
            this.decode();
            this.schedule();
        }, stepMs * this.faults.slowFactor);
    }

    private fillBatch(): void {
        while (this.running.length < this.options.slots && this.waiting.length > 0) {
            const request = this.waiting.shift()!;
            const hit = this.cache.touch(request.prompt);
            this.stats[hit ? "prefixHits" : "prefixMisses"]++;
            this.stats.started++;
            const prefillMs = hit ? 0 : this.options.prefillMs * request.prompt.length / 1000;
            request.prefillUntil = Date.now() + prefillMs * this.faults.slowFactor;
            this.running.push(request);
        }
    }

    private decode(): void {
        if (this.faults.frozen) {
            return;
        }
        const now = Date.now();
        for (const request of [...this.running]) {
            if (request.prefillUntil <= now) {
                this.decodeOne(request);
            }
        }
    }

    private decodeOne(request: EngineRequest): void {
        if (this.faults.cutAfterTokens !== undefined && request.produced >= this.faults.cutAfterTokens) {
            request.res.destroy();
            return;
        }
        request.produced++;
        this.stats.tokens++;
        const isLast = request.produced >= request.length;
        const finish = !isLast ? null : request.length >= request.maxTokens ? "length" : "stop";
        const version = this.faults.omitVersions ? {} : { weight_version: String(this.version) };
        request.res.write(`data: ${
            JSON.stringify({
                id: request.id,
                object: "text_completion",
                choices: [{
                    index: 0,
                    text: completionText(request.prompt, request.seed, request.produced),
                    finish_reason: finish,
                }],
                ...version,
            })
        }\n\n`);
        if (isLast) {
            this.running.splice(this.running.indexOf(request), 1);
            this.stats.finished++;
            request.res.end("data: [DONE]\n\n");
        }
    }

    private sendReport(res: Response): void {
        const now = Date.now();
        this.reports.push({ at: now, running: this.running.length, waiting: this.waiting.length });
        while (this.reports.length > 1 && this.reports[1]!.at <= now - this.options.reportLagMs) {
            this.reports.shift();
        }
        const { running, waiting } = this.reports[0]!;
        res.json({
            weight_version: String(this.version),
            weights_whole: this.versionWhole,
            running,
            waiting,
            slots: this.options.slots,
        });
    }

    private async updateWeights(req: Request, res: Response): Promise<void> {
        const { weight_version: text, fence } = req.body as { weight_version: string; fence: number; };
        if (this.faults.delayOrdersMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.faults.delayOrdersMs));
        }
        const version = Number(text);
        const refused = this.options.checksFencing && fence < this.highestFence;
        this.stats.ordersSeen.push({ version, fence, refused });
        if (refused) {
            res.status(409).json({ success: false, message: "The fencing number is old." });
            return;
        }
        this.highestFence = Math.max(this.highestFence, fence);
        if (version !== this.version || !this.versionWhole) {
            await this.swap(version);
        }
        if (!this.versionWhole) {
            res.status(500).json({ success: false, message: "The weights are not whole." });
            return;
        }
        this.sendReport(res);
    }

    private async swap(version: number): Promise<void> {
        this.versionWhole = false;
        if (this.options.weightStoreUrl !== undefined && !await this.fetchWeights(version)) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, this.options.swapMs));
        if (this.faults.failSwaps > 0) {
            this.faults.failSwaps--;
            return;
        }
        this.version = version;
        this.versionWhole = true;
    }

    private async fetchWeights(version: number): Promise<boolean> {
        try {
            const res = await fetch(`${this.options.weightStoreUrl}/weights/${version}`);
            await res.arrayBuffer();
            return res.ok;
        }
        catch {
            return false;
        }
    }
}
