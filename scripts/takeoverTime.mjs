// Measures how long a trainer waits for its next sample after the owner of its step is killed or frozen. Arguments: the
// fault, which is kill or freeze, and the number of runs: node scripts/takeoverTime.mjs kill 5
import { performance } from "node:perf_hooks";
import { TrainerClient } from "../packages/client/dist/index.js";
import { Fleet, fleetService, fleetToken } from "../packages/standins/dist/index.js";

const [fault = "kill", runs = "5"] = process.argv.slice(2);
const settleMs = 2000;
const pollMs = 20;

function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function createStep() {
    const groups = Array.from({ length: 100 }, (unused, nth) => ({
        group: `g${nth}`,
        prompt: `[tokens=20] Lot ${nth}`,
        samples: 8,
        maxTokens: 100,
        seed: nth * 10,
    }));
    return { weightVersion: 1, deadline: Date.now() + 60_000, groups };
}

async function findOwner(fleet) {
    for (const daemon of fleet.daemons) {
        const dump = await daemon.dump();
        if (dump.steps.length > 0) {
            return daemon;
        }
    }
    return undefined;
}

async function measure() {
    const fleet = await Fleet.start({ zones: ["leon"], hostsPerZone: 3, enginesPerZone: 2, plainPerZone: 1 });
    try {
        await pause(settleMs);
        const urls = fleet.urls();
        const client = new TrainerClient({ urls, service: fleetService.rollout, token: fleetToken.trainer });
        let arrivedAt = 0;
        const run = (async () => {
            for await (const samples of client.run("s1", createStep())) {
                arrivedAt = samples.length > 0 ? performance.now() : arrivedAt;
            }
        })();
        while (arrivedAt === 0) {
            await pause(pollMs);
        }
        const owner = await findOwner(fleet);
        await (fault === "kill" ? owner.kill() : owner.freeze());
        const failedAt = performance.now();
        await pause(pollMs);
        while (arrivedAt <= failedAt) {
            await pause(1);
        }
        const waitedMs = arrivedAt - failedAt;
        const isEntry = owner.callerUrl === urls[0];
        client.cancel("s1");
        await Promise.race([run, pause(settleMs)]);
        return { waitedMs, isEntry };
    }
    finally {
        await fleet.close();
    }
}

for (let nth = 0; nth < Number(runs); nth++) {
    const { waitedMs, isEntry } = await measure();
    console.log(`${fault}: next sample after ${waitedMs.toFixed(0)} ms${isEntry ? " (the trainer's entry host)" : ""}`);
}
process.exit(0);
