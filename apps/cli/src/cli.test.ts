/** Tests of the client against a running fleet: views, changes, conflicts, and errors with their exit codes. */

import { TrainerClient } from "@tamarackpath/client";
import { Fleet, fleetService, fleetToken } from "@tamarackpath/standins";
import { expect } from "chai";
import { spawn } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const cliPath = fileURLToPath(new URL("../dist/main.js", import.meta.url));
const exampleQuestionnaire = fileURLToPath(new URL("../../../examples/piedra-alta.toml", import.meta.url));
const waitTimeoutMs = 20_000;

interface CliResult {
    readonly code: number;
    readonly out: string;
    readonly err: string;
}

interface HostDump {
    readonly dispatch: { readonly inFlight: readonly object[]; };
    readonly targets: readonly { readonly target: string; }[];
    readonly steps: readonly object[];
    readonly config: { readonly revisions: readonly { readonly name: string; }[]; };
    readonly weights: { readonly pools: readonly { readonly pool: string; readonly hold?: object; }[]; };
}

describe("tamarack", () => {
    let fleet: Fleet;
    let settings = "";

    before(async () => {
        fleet = await Fleet.start({
            zones: ["leon"],
            hostsPerZone: 2,
            enginesPerZone: 1,
            plainPerZone: 1,
            engine: { swapMs: 6000 },
        });
        settings = join(fleet.folder, "tamarack.toml");
        const hosts = JSON.stringify(fleet.daemons.map(daemon => daemon.operatorUrl));
        writeFileSync(settings, `[operators]\nhosts = ${hosts}\nsecret_file = "secret"\n`);
    });

    after(() => fleet.close());

    function run(...args: readonly string[]): Promise<CliResult> {
        const child = spawn(process.execPath, [cliPath, ...args, "--to", settings]);
        let out = "";
        let err = "";
        child.stdout.on("data", piece => out += String(piece));
        child.stderr.on("data", piece => err += String(piece));
        return new Promise(resolve => child.once("close", code => resolve({ code: code ?? -1, out, err })));
    }

    async function waitUntilInForce(name: string, revision: number): Promise<void> {
        const end = Date.now() + waitTimeoutMs;
        for (;;) {
            const rows = JSON.parse((await run("status", "--json")).out) as { config: string; }[];
            if (rows.length === 2 && rows.every(row => row.config.includes(`${name} r${revision} `))) {
                return;
            }
            if (Date.now() > end) {
                throw new Error(`Revision ${revision} of ${name} did not come into force in time.`);
            }
        }
    }

    async function waitForDump(condition: (dump: HostDump) => boolean): Promise<HostDump> {
        const end = Date.now() + waitTimeoutMs;
        for (;;) {
            for (const { host } of fleet.daemons) {
                const dump = JSON.parse((await run("dump", host)).out) as HostDump;
                if (condition(dump)) {
                    return dump;
                }
            }
            if (Date.now() > end) {
                throw new Error("No host's dump met the condition in time.");
            }
        }
    }

    it("shows every host, target and step", async () => {
        const status = JSON.parse((await run("status", "--json")).out) as { host: string; ready: boolean; }[];
        expect(status.map(row => row.host)).to.have.members(["leon-1", "leon-2"]);
        const targets = await run("targets");
        expect(targets.out).to.include("leon-engine-1");
        expect((await run("steps", "--json")).out.trim()).to.equal("[]");
    });

    it("dumps a host without its secret or token hashes", async () => {
        const dump = await run("dump", "leon-1");
        expect(JSON.parse(dump.out)).to.include.keys("host", "targets", "dispatch", "steps", "weights", "config");
        expect(dump.out).to.not.include(fleet.secret);
    });

    it("shows the requests, targets, roles with their deadlines, and the revision in the dump of a busy host", async () => {
        const trainer = new TrainerClient({
            urls: fleet.urls(),
            service: fleetService.rollout,
            token: fleetToken.trainer,
        });
        const deadline = Date.now() + 60_000;
        const group = { group: "g", prompt: "Lot [tokens=100000]", samples: 2, maxTokens: 100_000, seed: 1 };
        await trainer.submit("busy", { weightVersion: 1, deadline, groups: [group] });
        void trainer.pull("busy", undefined);
        const busy = await waitForDump(dump => dump.dispatch.inFlight.length > 0);
        expect(busy.dispatch.inFlight[0]).to.include({ target: "leon-engine-1", deadline, caller: "trainer" });
        expect(busy.targets.map(view => view.target)).to.include("leon-engine-1");
        expect(busy.steps[0]).to.include({ step: "rollouts/trainer/busy", deadline });
        expect(busy.config.revisions.map(entry => entry.name)).to.include("fleet");
        await trainer.publish(2);
        const conducting = await waitForDump(dump => dump.weights.pools.some(pool => pool.hold !== undefined));
        expect(conducting.weights.pools[0]).to.include({ pool: "engines" });
        expect(conducting.weights.pools[0]?.hold).to.include.keys("deadline");
        await trainer.cancel("busy");
    });

    it("applies a questionnaire and shows the answer that determines a value", async () => {
        const applied = await run("questionnaire", "apply", exampleQuestionnaire);
        expect(applied.err).to.equal("");
        expect(applied.code).to.equal(0);
        await waitUntilInForce("piedra-alta", 1);
        const why = await run("config", "show", "piedra-alta", "--why");
        expect(why.out).to.match(/services\.order-desk\.answerWithinMs\s+2000\s+desks\.0\.answer_within/);
    });

    it("accepts one of two conflicting changes and shows the difference for the other", async () => {
        const mine = join(fleet.folder, "mine.toml");
        const theirs = join(fleet.folder, "theirs.toml");
        await run("questionnaire", "edit", "piedra-alta", mine);
        expect(existsSync(mine)).to.equal(true);
        const text = readFileSync(mine, "utf8");
        writeFileSync(theirs, text.replace("late_answer_costs = 25", "late_answer_costs = 40"));
        writeFileSync(mine, text.replace("answer_within = \"2 s\"", "answer_within = \"3 s\""));
        expect((await run("questionnaire", "apply", theirs)).code).to.equal(0);
        await waitUntilInForce("piedra-alta", 2);
        const rejected = await run("questionnaire", "apply", mine);
        expect(rejected.code).to.equal(4);
        expect(rejected.out).to.include("services.order-desk.lateCost");
        const diff = await run("questionnaire", "diff", mine);
        expect(diff.out).to.match(/services\.order-desk\.answerWithinMs\s+2000\s+3000\s+desks\.0\.answer_within/);
    });

    it("lists the history", async () => {
        const history = await run("config", "history", "piedra-alta", "--json");
        expect((JSON.parse(history.out) as { revision: number; }[]).map(row => row.revision)).to.deep.equal([1]);
    });

    it("drains a target on every host", async () => {
        expect((await run("drain", "leon-engine-1")).code).to.equal(0);
        const rows = JSON.parse((await run("targets", "--json")).out) as { target: string; leaving: boolean; }[];
        const views = rows.filter(row => row.target === "leon-engine-1");
        expect(views.map(row => row.leaving)).to.deep.equal([true, true]);
    });

    it("reports errors by exit codes", async () => {
        expect((await run("drain", "nobody")).code).to.equal(2);
        expect((await run("questionnaire", "check", "missing.toml")).code).to.equal(2);
        await fleet.daemon("leon-2").kill();
        const status = await run("status");
        expect(status.code).to.equal(3);
        expect(status.out).to.include("leon-1");
    });
});
