/** The `drain` command: a target or a host gets no new work and finishes its running work. */

import { type Connection } from "../Connection.js";
import { printFindings, printProblem } from "../output.js";
import { withHosts } from "./observe.js";

/** Drains the target or host with the given name. */
export async function drain(connection: Connection, name: string): Promise<void> {
    await withHosts(connection, async hosts => {
        for (const { client } of hosts) {
            const status = await client.status<{ host: string; }>();
            if (status.map(found => found.host === name).orDefault(false)) {
                const res = await client.drainHost();
                res.ifLeft(found => printProblem(found, name));
                res.ifRight(() => console.log(`Host ${name} takes no new work.`));
                return;
            }
        }
        const results = await Promise.all(hosts.map(({ client }) => client.drainTarget(name)));
        if (results.some(res => res.isRight())) {
            console.log(`Target ${name} gets no new work.`);
            return;
        }
        const problems = results.flatMap(res => res.swap().toMaybe().toList());
        problems.filter(found => found.type !== "not-found").forEach(found => printProblem(found, name));
        if (problems.every(found => found.type === "not-found")) {
            printFindings([{ place: "NAME", read: name, allowed: "the name of a listed host or of a known target" }]);
        }
    });
}
