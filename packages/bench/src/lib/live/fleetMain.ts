/**
 * Program that runs the stand-ins in a separate process, so that they do not share a thread with the load generator.
 */

import { Fleet, type FleetConfig, fleetToken, tokenSha256 } from "@tamarackpath/standins";
import { type FleetCommand, type FleetReply, type FleetStartOptions, servicesOf } from "./fleetMessages.js";

const tokenMs = 10;
const slots = 8;
let fleet: Fleet | undefined;

async function start({ hosts, engines, policies, reportLagMs }: FleetStartOptions): Promise<FleetReply> {
    fleet = await Fleet.start({
        zones: ["leon"],
        hostsPerZone: hosts,
        enginesPerZone: engines,
        plainPerZone: 1,
        engine: { tokenMs, slots, reportLagMs, prefillMs: 30 },
        adjustConfig: doc => addServices(doc, policies),
    });
    return { kind: "started", urls: fleet.urls(), engineUrls: fleet.engines.map(({ standIn }) => standIn.server.url) };
}

/** Adds a rollout service and a desk service for each policy. */
function addServices(doc: FleetConfig, policies: FleetStartOptions["policies"]): void {
    const trainers = [
        { caller: "trainer-1", tokenSha256: tokenSha256(fleetToken.trainer) },
        { caller: "trainer-2", tokenSha256: tokenSha256(fleetToken.otherTrainer) },
    ];
    const desk = [{ caller: "desk", tokenSha256: tokenSha256(fleetToken.desk) }];
    for (const policy of policies) {
        const names = servicesOf(policy);
        const common = { enginePool: "engines", policy, answerWithinMs: 600_000 };
        doc.services.push({ ...common, service: names.rollout, kind: "rollout", callers: trainers, lateCost: 1 });
        doc.services.push({ ...common, service: names.desk, kind: "answer", callers: desk, lateCost: 20 });
    }
}

function enginesAt(indexes: readonly number[]) {
    return (fleet?.engines ?? []).filter((unused, nth) => indexes.includes(nth)).map(({ standIn }) => standIn);
}

type Handlers = {
    readonly [Kind in FleetCommand["kind"]]: (command: Extract<FleetCommand, { kind: Kind; }>) => unknown;
};

const handlers: Handlers = {
    start: command => start(command.start),
    slow: ({ engines, factor }) => enginesAt(engines).forEach(engine => engine.faults.slowFactor = factor),
    refuse: ({ engines, refuse }) =>
        enginesAt(engines).forEach(engine => {
            engine.faults.refuse = refuse;
            if (refuse) {
                engine.server.resetConnections();
            }
        }),
    account: () => {
        const engineStats = (fleet?.engines ?? []).map(({ standIn }) => standIn.stats);
        return {
            kind: "account",
            tokens: engineStats.map(({ tokens }) => tokens),
            hits: engineStats.reduce((sum, { prefixHits }) => sum + prefixHits, 0),
            misses: engineStats.reduce((sum, { prefixMisses }) => sum + prefixMisses, 0),
        };
    },
    close: () => fleet?.close(),
};

async function handle(command: FleetCommand): Promise<void> {
    const run = handlers[command.kind] as (command: FleetCommand) => unknown;
    const reply = await run(command) as FleetReply | undefined;
    process.send?.(reply?.kind === undefined ? { kind: "done" } : reply, undefined, undefined, () => {
        if (command.kind === "close") {
            process.exit(0);
        }
    });
}

process.on("message", command => void handle(command as FleetCommand));
process.on("disconnect", () => void Promise.resolve(fleet?.close()).then(() => process.exit(0)));
