/** Creates and connects the tasks of one daemon, and starts and stops them in order. */

import {
    ClientGuard,
    EtcdKeyValue,
    GuardedKeyValue,
    HttpEngine,
    HttpHostList,
    HttpPlainService,
    systemClock,
    WsPeerNetwork,
} from "@tamarackpath/adapters";
import {
    type ClientLimits,
    ConfigRegistry,
    deriveClientLimits,
    FactMap,
    type Finding,
    type Incarnation,
    LeavingTargetRegistry,
    seededRandom,
} from "@tamarackpath/core";
import Emittery from "emittery";
import { createServer, type Server } from "node:http";
import { Agent } from "undici";
import { type Context, type DaemonEvents, type Task } from "./Context.js";
import { createCallerApp } from "./http/callerApp.js";
import { createCallerServer, maxHeaderBytes } from "./http/createCallerServer.js";
import { OpenRequests } from "./http/OpenRequests.js";
import { createOperatorApp } from "./http/operatorApp.js";
import { Logs } from "./Log.js";
import { MeteredEngine } from "./MeteredEngine.js";
import { Metrics } from "./Metrics.js";
import { type Settings } from "./settings/Settings.js";
import { Shutdown } from "./Shutdown.js";
import { AnswerTask } from "./tasks/AnswerTask.js";
import { CompletionTask } from "./tasks/CompletionTask.js";
import { ConfigTask } from "./tasks/ConfigTask.js";
import { DispatchTask } from "./tasks/DispatchTask.js";
import { HostListTask } from "./tasks/HostListTask.js";
import { KeyValueTask } from "./tasks/KeyValueTask.js";
import { LeavingTask } from "./tasks/LeavingTask.js";
import { MembershipTask } from "./tasks/MembershipTask.js";
import { StepRouter } from "./tasks/StepRouter.js";
import { StepTask } from "./tasks/StepTask.js";
import { TargetTask } from "./tasks/TargetTask.js";
import { WeightTask } from "./tasks/WeightTask.js";
import { ZoneTask } from "./tasks/ZoneTask.js";

const keyValueTimeoutMs = 1500;
const peerPingIntervalMs = 500;
const peerPongTimeoutMs = 1500;
const bytesPerMegabyte = 1024 * 1024;

/** One running daemon. */
export class Daemon {
    private readonly ctx: Context;
    private readonly peers: WsPeerNetwork;
    private readonly keyValue: EtcdKeyValue;
    private readonly logs: Logs;
    private readonly tasks: readonly Task[];
    private readonly servers: readonly { readonly server: Server; readonly address: string; }[];
    private readonly shutdown: Shutdown;

    constructor(settings: Settings, secret: string) {
        const { host, zone, incarnation, peers, keyValue, guarded, ctx, logs, engine } = createContext(
            settings,
            secret,
        );
        this.ctx = ctx;
        this.peers = peers;
        this.keyValue = keyValue;
        this.logs = logs;
        const members = new MembershipTask(ctx, {
            address: settings.listen.peers,
            seeds: settings.membership.seeds,
        });
        const targets = new TargetTask(ctx);
        const dispatch = new DispatchTask(ctx, members);
        engine.onProgress = (attempt, tokens) => dispatch.recordProgress(attempt, tokens);
        engine.onRefused = target => dispatch.refused(target);
        const steps = new StepTask(ctx, dispatch, targets, members);
        const answers = new AnswerTask(ctx, dispatch, members, secret);
        const weights = new WeightTask(ctx, targets, members);
        const hostList = new HostListTask(ctx);
        const config = new ConfigTask(ctx, members, [weights.versions], settings.host.data_folder);
        const zones = new ZoneTask(ctx, members);
        const leaving = new LeavingTask(ctx);
        const store = new KeyValueTask(guarded);
        this.tasks = [store, members, zones, leaving, targets, dispatch, steps, answers, weights, config, hostList];
        const requests = new OpenRequests();
        this.shutdown = new Shutdown(ctx, {
            balancerNoticeMs: settings.shutdown.balancer_notice_ms,
            finishTimeoutMs: settings.shutdown.finish_within_ms,
        }, {
            requests,
            tasks: this.tasks,
            countPeerRequests: () => countPeerRequests(peers.activeRequestCounts()),
            refuseWaiting: () => dispatch.refuseWaiting(),
        });
        const callerApp = createCallerApp(ctx, {
            requests,
            steps: new StepRouter(ctx, members, steps),
            answers,
            completions: new CompletionTask(ctx, dispatch),
            weights,
            isReady: () => this.isReady(),
        });
        const operatorApp = createOperatorApp(ctx, secret, {
            all: this.tasks,
            targets,
            members,
            dispatch,
            shutdown: this.shutdown,
            isReady: () => this.isReady(),
        });
        const { maxCallerConnections, maxProbeConnections } = clientLimitsOf(settings);
        const operatorServer = createServer({ maxHeaderSize: maxHeaderBytes });
        ctx.guard.protect(operatorServer, maxProbeConnections, (req, res) => void operatorApp(req, res));
        this.servers = [
            {
                server: createCallerServer(callerApp, ctx.guard, maxCallerConnections),
                address: settings.listen.callers,
            },
            { server: operatorServer, address: settings.listen.operators },
        ];
        ctx.log("daemon").info("The host is starting.", { host, zone, incarnation });
    }

    async start(): Promise<void> {
        await this.peers.listen();
        for (const task of this.tasks) {
            await task.start();
        }
        await Promise.all(this.servers.map(({ server, address }) => listen(server, address)));
        this.ctx.log("daemon").info("The host is up.");
    }

    /** Stops gracefully; returns whether every request ended in time. */
    async stop(): Promise<boolean> {
        const isWhole = await this.shutdown.finish();
        for (const task of [...this.tasks].reverse()) {
            await task.stop();
        }
        await Promise.all(this.servers.map(({ server }) => closeServer(server)));
        await this.peers.close();
        await this.keyValue.close();
        this.ctx.log("daemon").info("The host has stopped.", { isWhole });
        return isWhole;
    }

    /** Ends a graceful shutdown early, without waiting for running requests. */
    forceStop(): void {
        this.shutdown.forceStop();
    }

    logRepeatedStop(signal: string): void {
        this.ctx.log("shutdown").info("The host was asked to stop once more; its shutdown goes on.", { signal });
    }

    /** Applies the settings that may change while the daemon runs: the log level. */
    reload(settings: Settings): void {
        this.logs.setLevel(settings.log.level);
        this.ctx.log("daemon").info("The settings were reloaded.", { level: settings.log.level });
    }

    /** Logs the findings of reloaded settings that are not valid. */
    rejectSettings(findings: readonly Finding[]): void {
        this.ctx.log("daemon").error("The settings are not valid; the current ones stay in force.", { findings });
    }

    private isReady(): boolean {
        return this.shutdown.phase === "serving" && this.ctx.config.documents().length > 0;
    }
}

interface ContextParts {
    readonly host: string;
    readonly zone: string;
    readonly incarnation: Incarnation;
    readonly peers: WsPeerNetwork;
    readonly keyValue: EtcdKeyValue;
    readonly guarded: GuardedKeyValue;
    readonly ctx: Context;
    readonly logs: Logs;
    readonly engine: MeteredEngine;
}

function createContext(settings: Settings, secret: string): ContextParts {
    const { id: host, zone } = settings.host;
    const clock = systemClock;
    const incarnation = clock.now() as number as Incarnation;
    const random = seededRandom(`${host}/${incarnation}`);
    const facts = new FactMap();
    const dispatcher = new Agent({ connections: null, pipelining: 1, connect: { timeout: 2000 } });
    const [listenHost, listenPort] = settings.listen.peers.split(":");
    const peers = new WsPeerNetwork({
        self: host,
        listenHost: listenHost!,
        listenPort: Number(listenPort),
        secret,
        random,
        pingIntervalMs: peerPingIntervalMs,
        pongTimeoutMs: peerPongTimeoutMs,
    }, clock);
    const keyValue = new EtcdKeyValue({
        url: settings.platform.key_value,
        userAgent: `tamarackd/${host}`,
        callTimeoutMs: keyValueTimeoutMs,
    }, clock);
    const metrics = new Metrics();
    const guarded = new GuardedKeyValue(keyValue, clock, {
        random,
        onCall: (duty, outcome) => metrics.keyValueCalls.inc({ duty, outcome }),
    });
    const plain = new HttpPlainService(dispatcher);
    const engine = new MeteredEngine(new HttpEngine(dispatcher));
    const logs = new Logs(host, settings.log.level);
    const guard = new ClientGuard(clientLimitsOf(settings), clock, (reason, count) => {
        metrics.clientsRefused.inc({ reason }, count);
        logs.forPrefix("http").warn("Clients exceed the limits and were refused.", { reason, count });
    });
    const ctx: Context = {
        host,
        zone,
        incarnation,
        clock,
        random,
        bus: new Emittery<DaemonEvents>(),
        ports: {
            keyValue: guarded,
            hostList: new HttpHostList(settings.platform.host_list, dispatcher),
            engine,
            plain,
            scorer: plain,
            peers,
        },
        config: new ConfigRegistry(),
        facts,
        leaving: new LeavingTargetRegistry(facts),
        metrics,
        guard,
        log: prefix => logs.forPrefix(prefix),
    };
    return { host, zone, incarnation, peers, keyValue, guarded, ctx, logs, engine };
}

function clientLimitsOf({ limits }: Settings): ClientLimits {
    return deriveClientLimits(
        limits.memory_mb === undefined ? undefined : limits.memory_mb * bytesPerMegabyte,
        limits.max_descriptors,
    );
}

function listen(server: Server, address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve());
    });
}

/** Counts the peers' requests that a shutdown waits for: all except membership requests, which continue to the end. */
function countPeerRequests(serving: ReadonlyMap<string, number>): number {
    return [...serving].filter(([name]) => !name.startsWith("member-")).reduce((sum, [, count]) => sum + count, 0);
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
