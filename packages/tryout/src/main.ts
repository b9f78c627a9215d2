/**
 * The trial run: two zones on embedded stand-ins, with a trainer and two callers of the desk, and one host that is killed
 * during the run. It counts samples, answers and orders at the trainer and the targets, and prints a summary.
 */

import { CallerClient, TrainerClient } from "@tamarackpath/client";
import { Fleet, fleetService, fleetToken } from "@tamarackpath/standins";
import { writeFileSync } from "node:fs";
import { join } from "node:path";

const zones = ["leon", "qro"];
const steps = 4;
const groupsPerStep = 24;
const samplesPerGroup = 4;
const stepTimeoutMs = 20_000;
const orders = 60;
const quotes = 200;
const killDelayMs = 2500;
const stalenessBound = 1;

/** The counts of the trial. */
interface Summary {
    samplesSubmitted: number;
    samplesDelivered: number;
    samplesDuplicated: number;
    samplesLost: number;
    samplesTooOld: number;
    answersWhole: number;
    answersLost: number;
    ordersRunTwice: number;
}

const isJson = process.argv.includes("--json");

function printProgress(text: string): void {
    if (!isJson) {
        console.log(text);
    }
}

async function runTrainer(fleet: Fleet, summary: Summary): Promise<void> {
    const trainer = new TrainerClient({
        urls: fleet.urls("leon"),
        service: fleetService.rollout,
        token: fleetToken.trainer,
        pullTimeoutMs: 7000,
    });
    for (let step = 1; step <= steps; step++) {
        await trainer.publish(step);
        const total = groupsPerStep * samplesPerGroup;
        summary.samplesSubmitted += total;
        const seen = new Set<number>();
        const groups = Array.from({ length: groupsPerStep }, (unused, nth) => ({
            group: `g${nth}`,
            prompt: `Quote kerb stone lot ${step}-${nth}`,
            samples: samplesPerGroup,
            maxTokens: 400,
            seed: nth * 100,
        }));
        const req = { weightVersion: step, stalenessBound, deadline: Date.now() + stepTimeoutMs, groups };
        for await (const samples of trainer.run(`step-${step}`, req)) {
            for (const sample of samples) {
                summary.samplesDuplicated += seen.has(sample.index) ? 1 : 0;
                seen.add(sample.index);
                summary.samplesTooOld += Math.min(...sample.spans.map(span => span.version)) < step - stalenessBound
                    ? 1
                    : 0;
            }
        }
        summary.samplesDelivered += seen.size;
        summary.samplesLost += total - seen.size;
        printProgress(`Step ${step}: ${seen.size} of ${total} samples delivered.`);
    }
}

async function requestQuotes(fleet: Fleet, summary: Summary): Promise<void> {
    const desk = new CallerClient({ urls: fleet.urls(), service: fleetService.desk, token: fleetToken.desk });
    for (let nth = 0; nth < quotes; nth++) {
        const article = `kerb-${nth}`;
        let isWhole = false;
        for (let tries = 0; tries < 5 && !isWhole; tries++) {
            const res = await desk.call<{ article: string; }>(`/quotes/${article}`);
            isWhole = res.map(answer => answer.article === article).orDefault(false);
            desk.useNextHost();
        }
        summary[isWhole ? "answersWhole" : "answersLost"]++;
    }
    printProgress(`Desk: ${quotes} quotes requested.`);
}

async function placeOrders(fleet: Fleet, summary: Summary): Promise<void> {
    const desk = new CallerClient({ urls: fleet.urls(), service: fleetService.desk, token: fleetToken.desk });
    let confirmed = 0;
    for (let nth = 0; nth < orders; nth++) {
        for (let tries = 0; tries < 5; tries++) {
            const options = { method: "POST", body: { order: `o-${nth}` }, idempotencyKey: `order-${nth}` } as const;
            const res = await desk.call("/orders", options);
            desk.useNextHost();
            if (res.isRight()) {
                confirmed++;
                break;
            }
        }
    }
    summary.ordersRunTwice = [...fleet.orderRuns().values()].filter(times => times > 1).length;
    printProgress(`Desk: ${confirmed} of ${orders} orders confirmed.`);
}

function printSummary(summary: Summary): void {
    if (isJson) {
        console.log(JSON.stringify(summary));
        return;
    }
    const { samplesSubmitted, samplesDelivered, samplesDuplicated, samplesLost, samplesTooOld } = summary;
    console.log("");
    console.log("Counted at the trainer and at the targets, with one host killed during the run:");
    console.log(`  samples   ${samplesDelivered} of ${samplesSubmitted} delivered`);
    console.log(`            ${samplesDuplicated} duplicated, ${samplesLost} lost, ${samplesTooOld} too old`);
    console.log(`  answers   ${summary.answersWhole} whole, ${summary.answersLost} lost`);
    console.log(`  orders    ${summary.ordersRunTwice} run twice`);
}

/** Keeps the fleet running until an interrupt, so that it can be inspected, disturbed and operated by hand. */
async function keepRunning(fleet: Fleet): Promise<void> {
    const settings = join(fleet.folder, "tamarack.toml");
    const tokenFile = join(fleet.folder, "token");
    const hosts = JSON.stringify(fleet.daemons.map(daemon => daemon.operatorUrl));
    const callers = JSON.stringify(fleet.urls());
    writeFileSync(tokenFile, fleetToken.desk);
    writeFileSync(
        settings,
        `[operators]\nhosts = ${hosts}\nsecret_file = "secret"\n`
            + `[caller]\nhosts = ${callers}\nservice = "${fleetService.desk}"\ntoken_file = "token"\n`,
    );
    console.log("The fleet runs until you press Ctrl-C. In another terminal, in this folder:");
    console.log(`  export TAMARACK_SETTINGS=${settings}`);
    console.log("  alias tamarack='node apps/cli/dist/main.js'");
    console.log("  tamarack status");
    console.log("  tamarack ask /quotes/kerb-1");
    console.log("  tamarack ask /orders --method POST --body '{\"order\":\"o-1\"}' --key o-1");
    console.log("  tamarack dump leon-1");
    console.log("  tamarack questionnaire apply examples/piedra-alta.toml");
    console.log("Commands that kill a host:");
    fleet.daemons.forEach(daemon => console.log(`  ${daemon.host}  kill -9 ${daemon.pid}`));
    await new Promise(resolve => process.once("SIGINT", resolve));
    await fleet.close();
    process.exit(0);
}

async function main(): Promise<void> {
    printProgress("Starting the stand-ins and two zones with two hosts each.");
    const fleet = await Fleet.start({ zones, hostsPerZone: 2, enginesPerZone: 3, plainPerZone: 2 });
    if (process.argv.includes("--stay")) {
        await keepRunning(fleet);
        return;
    }
    const summary: Summary = {
        samplesSubmitted: 0,
        samplesDelivered: 0,
        samplesDuplicated: 0,
        samplesLost: 0,
        samplesTooOld: 0,
        answersWhole: 0,
        answersLost: 0,
        ordersRunTwice: 0,
    };
    setTimeout(() => {
        printProgress("Killing host leon-1.");
        void fleet.daemon("leon-1").kill();
    }, killDelayMs);
    await Promise.all([runTrainer(fleet, summary), requestQuotes(fleet, summary), placeOrders(fleet, summary)]);
    await fleet.close();
    printSummary(summary);
    const { samplesDuplicated, samplesLost, samplesTooOld, answersLost, ordersRunTwice } = summary;
    const faults = samplesDuplicated + samplesLost + samplesTooOld + answersLost + ordersRunTwice;
    process.exit(faults === 0 ? 0 : 1);
}

void main();
