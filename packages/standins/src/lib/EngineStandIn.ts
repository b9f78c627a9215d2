/**
 * Stand-in for a model engine: continuous batching over limited slots, priorities, a prefix cache in limited memory,
 * streamed completions with the weight version on every chunk, and weight swaps. Faults are fields of `faults`.
 */

import { type Request, type Response } from "express";
import { completionLength, completionText } from "./completionText.js";
import { PrefixCache } from "./PrefixCache.js";
import { StandInServer } from "./StandInServer.js";

/** Shape of an engine. */
export interface EngineOptions {
    readonly port: number;
    /** Requests in the batch at a time. */
    readonly slots: number;
    /** Milliseconds that a decoding step takes with one request in the batch. */
    readonly tokenMs: number;
    /** Share by which each further request in the batch lengthens the step. */
    readonly batchSlope: number;
    /** Milliseconds to prefill 1,000 characters of prompt that are not cached. */
    readonly prefillMs: number;
    /** Prompts that the prefix cache holds. */
    readonly cachedPrompts: number;
    readonly weightVersion: number;
    /** Milliseconds that a swap of weights takes. */
    readonly swapMs: number;
    /** Milliseconds by which load reports lag. */
    readonly reportLagMs: number;
    /** True when orders with an old fencing number are refused. */
    readonly checksFencing: boolean;
    /** Address of the weight store; without it a swap fetches nothing. */
    readonly weightStoreUrl: string | undefined;
}

/** Faults of an engine. */
export interface EngineFaults {
    /** Multiplies the time of each decoding step. */
    slowFactor: number;
    /** Stops decoding without closing anything. */
    frozen: boolean;
    /** Leaves the version out of the chunks. */
    omitVersions: boolean;
    /** Cuts each stream after that many tokens. */
    cutAfterTokens: number | undefined;
    /** Makes the next swaps fail partway; the weights are then not whole. */
    failSwaps: number;
    /** Refuses every new request with status 503. */
    refuse: boolean;
    /** Holds load orders back for that many milliseconds before they take effect. */
    delayOrdersMs: number;
}

interface Running {
    readonly id: string;
    readonly prompt: string;
    readonly seed: number;
    readonly length: number;
    readonly maxTokens: number;
    readonly priority: number;
    readonly serial: number;
    readonly res: Response;
    produced: number;
    prefillUntil: number;
}

/** What an engine saw; tests read it as the target's own account. */
export interface EngineAccount {
    started: number;
    finished: number;
    cancelled: number;
    tokens: number;
    prefixHits: number;
    prefixMisses: number;
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
    readonly stats: EngineAccount = {
        started: 0,
        finished: 0,
        cancelled: 0,
        tokens: 0,
        prefixHits: 0,
        prefixMisses: 0,
        ordersSeen: [],
    };
    version: number;
    versionWhole = true;
    private readonly running: Running[] = [];
    private readonly waiting: Running[] = [];
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
        server.app.post("/update_weights_from_disk", (req, res) => void this.load(req, res));
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
        const request: Running = {
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
        res.on("close", () => this.drop(request));
        this.waiting.push(request);
        this.waiting.sort((a, b) => a.priority - b.priority || a.serial - b.serial);
        this.schedule();
    }

    private drop(request: Running): void {
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

    private decodeOne(request: Running): void {
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

    private async load(req: Request, res: Response): Promise<void> {
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
