/** The routes in force: finds the route of a request by its virtual host and the longest prefix of its path. */

import { type ConfigRevision, type RouteId, type ServiceId } from "../ids.js";

/** What may be repeated on a route. */
export type RouteKind = "idempotent" | "non-idempotent" | "streaming" | "jobs";

/** A service that takes a share of a route's requests. */
export interface WeightedService {
    readonly service: ServiceId;
    readonly weight: number;
}

/** One route. */
export interface Route {
    readonly id: RouteId;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    readonly services: readonly WeightedService[];
    /** Milliseconds that a request may be kept waiting; a job's tasks are not bound by it. */
    readonly timeoutMs: number;
    /** Milliseconds within which an answer is on time. */
    readonly targetLatencyMs: number;
    /** Rank among routes; 0 goes first. */
    readonly priority: number;
    /** Targets that one request may be sent to. */
    readonly maxAttempts: number;
    /** Whether a broken stream may be resumed. */
    readonly resumable: boolean;
    /** Milliseconds after its submission from which a job's task may be given up. */
    readonly taskTtlMs: number;
    /** Milliseconds after its submission by which all results of a job are due. */
    readonly jobTargetMs: number;
    /** Whether each text must come from one weight version. */
    readonly singleVersion: boolean;
}

/** What an engine of a service offers. */
export interface EngineSpec {
    readonly slots: number;
    /** Tokens of memory. */
    readonly memoryTokens: number;
    readonly models: readonly string[];
}

/** A service. */
export interface ServiceSpec {
    readonly id: ServiceId;
    readonly healthPath: string;
    /** Connections that one target accepts from all hosts together. */
    readonly maxConnections: number;
    readonly engine: EngineSpec | undefined;
}

/** Bounds on what callers send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One configuration of routes and services. */
export interface RouteConfig {
    readonly revision: ConfigRevision;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceSpec[];
    readonly limits: CallerLimits;
}

/** Finds routes. */
export class RouteTable {
    private readonly byHost = new Map<string, readonly Route[]>();
    private readonly services: ReadonlyMap<ServiceId, ServiceSpec>;

    constructor(readonly config: RouteConfig) {
        for (const route of config.routes) {
            this.byHost.set(route.host, [...this.byHost.get(route.host) ?? [], route]);
        }
        for (const [host, routes] of this.byHost) {
            this.byHost.set(host, [...routes].sort((a, b) => b.prefix.length - a.prefix.length));
        }
        this.services = new Map(config.services.map(service => [service.id, service]));
    }

    /** The route with the longest prefix of `path` among those of `host`. */
    find(host: string, path: string): Route | undefined {
        return this.byHost.get(host)?.find(route => path.startsWith(route.prefix));
    }

    hasHost(host: string): boolean {
        return this.byHost.has(host);
    }

    service(id: ServiceId): ServiceSpec | undefined {
        return this.services.get(id);
    }
}

/** The service for one request, by the weights of its route; `draw` lies between 0 and 1. */
export function drawService(route: Route, draw: number): ServiceId | undefined {
    const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
    let left = draw * total;
    for (const { service, weight } of route.services) {
        left -= weight;
        if (left < 0) {
            return service;
        }
    }
    return route.services.at(-1)?.service;
}
