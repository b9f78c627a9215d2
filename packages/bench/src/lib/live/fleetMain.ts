/** A process of its own for the stand-ins, so that they do not share a thread with the load generator. */

import { Fleet, type FleetConfig, fleetToken, tokenSha256 } from "@tamarackpath/standins";
import { type FleetOrder, type FleetReply, type FleetStart, servicesOf } from "./fleetMessages.js";

const tokenMs = 10;
const slots = 8;
let fleet: Fleet | undefined;

async function start({ hosts, engines, policies, reportLagMs }: FleetStart): Promise<FleetReply> {
    fleet = await Fleet.start({
        zones: ["leon"],
        hostsPerZone: hosts,
        enginesPerZone: engines,
        plainPerZone: 1,
        engine: { tokenMs, slots, reportLagMs, prefillMs: 30 },
        adjustConfig: doc => adjust(doc, policies),
    });
    return { kind: "started", urls: fleet.urls(), engineUrls: fleet.engines.map(({ standIn }) => standIn.server.url) };
}

function adjust(doc: FleetConfig, policies: FleetStart["policies"]): void {
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

function standIns(nths: readonly number[]) {
    return (fleet?.engines ?? []).filter((unused, nth) => nths.includes(nth)).map(({ standIn }) => standIn);
}

type Handlers = { readonly [Kind in FleetOrder["kind"]]: (order: Extract<FleetOrder, { kind: Kind; }>) => unknown; };

const handlers: Handlers = {
    start: order => start(order.start),
    slow: ({ engines, factor }) => standIns(engines).forEach(engine => engine.faults.slowFactor = factor),
    refuse: ({ engines, refuse }) =>
        standIns(engines).forEach(engine => {
            engine.faults.refuse = refuse;
            if (refuse) {
                engine.server.resetConnections();
            }
        }),
    account: () => {
        const accounts = (fleet?.engines ?? []).map(({ standIn }) => standIn.stats);
        return {
            kind: "account",
            tokens: accounts.map(({ tokens }) => tokens),
            hits: accounts.reduce((sum, { prefixHits }) => sum + prefixHits, 0),
            misses: accounts.reduce((sum, { prefixMisses }) => sum + prefixMisses, 0),
        };
    },
    close: () => fleet?.close(),
};

async function handle(order: FleetOrder): Promise<void> {
    const run = handlers[order.kind] as (order: FleetOrder) => unknown;
    const reply = await run(order) as FleetReply | undefined;
    process.send?.(reply?.kind === undefined ? { kind: "done" } : reply, undefined, undefined, () => {
        if (order.kind === "close") {
            process.exit(0);
        }
    });
}

process.on("message", order => void handle(order as FleetOrder));
process.on("disconnect", () => void Promise.resolve(fleet?.close()).then(() => process.exit(0)));
