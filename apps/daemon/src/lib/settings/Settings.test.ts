/** Tests of the settings and of the documents generated from their schema. */

import { expect } from "chai";
import { readFileSync } from "node:fs";
import { readSettings } from "./Settings.js";
import { defaultSettingsText, settingsReferenceText } from "./settingsReference.js";

const faultySettings = `[host]
id = "Leon 1"
zoen = "bajio-leon"
[listen]
callers = "localhost:7100"
operators = "127.0.0.1:99999"
peers = "127.0.0.1:7102"
[platform]
key_value = "ftp://127.0.0.1"
host_list = "http://127.0.0.1:9000/hosts"
[security]
secret_file = "secret"
zone = "x"
`;

describe("readSettings", () => {
    it("accepts the default settings file", () => {
        expect(readSettings("default.toml", defaultSettingsText()).isRight()).to.equal(true);
    });

    it("reports every fault with its line in one run", () => {
        const findings = readSettings("bad.toml", faultySettings).swap().orDefault([]);
        expect(findings.map(finding => finding.place)).to.have.members([
            "bad.toml:2 host.id",
            "bad.toml:1 host.zone",
            "bad.toml:3 host.zoen",
            "bad.toml:5 listen.callers",
            "bad.toml:6 listen.operators",
            "bad.toml:9 platform.key_value",
            "bad.toml:13 security.zone",
        ]);
    });

    it("reports line and column when the text is not valid TOML", () => {
        const findings = readSettings("bad.toml", "[host]\nid = \n").swap().orDefault([]);
        expect(findings[0]?.place).to.match(/^bad\.toml:2:\d+$/);
    });
});

describe("the settings reference", () => {
    it("is the one in docs", () => {
        const page = new URL("../../../../../docs/operators/settings.md", import.meta.url);
        expect(readFileSync(page, "utf8")).to.equal(settingsReferenceText());
    });
});
