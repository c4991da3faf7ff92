import { digestKey } from "@dandelionbank/check-credential";
import {
  EXAMPLE_CONTRACT,
  runToolInProcess,
  withOperatorEntries,
} from "@dandelionbank/operator-entry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EXIT_CODES, runTool } from "./mod.ts";

const SET_CONTRACT = ["contract", "set", "trust", "-"];
const CONTRACT_TEXT = JSON.stringify(EXAMPLE_CONTRACT);

test("A contract is written, shown, listed and deleted", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["none"] },
    async ({ store, run }) => {
      const set = await run(SET_CONTRACT, CONTRACT_TEXT);
      assert.equal(set.code, EXIT_CODES.done);
      assert.match(set.errors, /^Current: none, contract trust is new$/m);
      assert.match(
        set.output,
        /^Written: contract trust, revision 2, written by asha$/m,
      );

      const get = await run(["contract", "get", "trust"]);
      assert.deepEqual(JSON.parse(get.output), EXAMPLE_CONTRACT);
      assert.match(get.errors, /revision 2, written by asha/);

      const list = await run(["contract", "list"]);
      assert.match(
        list.output,
        /^name +revision +requests\/s .*\ntrust +2 +10 +4 /,
      );

      for (const organisation of ["o-10", "o-9"]) {
        const value = { ...EXAMPLE_CONTRACT, organisation };
        store.seed({ kind: "contract", name: organisation }, value);
      }
      const sorted = await run(["contract", "list"]);
      assert.match(sorted.output, /\no-9 .*\no-10 .*\ntrust /);

      const deletion = await run([
        "contract",
        "delete",
        "trust",
        "--revision",
        "2",
      ]);
      assert.equal(deletion.output, "Deleted: contract trust\n");
      assert.equal(await store.get("contract", "trust"), undefined);
      assert.equal((await run(["stop", "list"])).output, "None\n");
    },
  );
});

// Guards against a tool that fails for all objects of a kind as one is malformed.
test("Malformed objects are listed beside the others", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["none"] },
    async ({ store, run }) => {
      for (const kind of ["contract", "stop", "config"] as const) {
        for (const value of [null, "text", {}, { keyDigests: 7 }]) {
          const name = `odd-${typeof value}`;
          store.seed({ kind, name }, value);
          const { code, output } = await run([kind, "list"]);
          assert.equal(code, EXIT_CODES.done);
          if (kind === "config" && name === "odd-object") continue;
          assert.match(output, new RegExp(`Malformed[^]*\\n${name} +\\d+ `));
        }
      }
      store.seed({ kind: "contract", name: "trust" }, EXAMPLE_CONTRACT);
      const { output } = await run(["contract", "list"]);
      assert.match(output, /^trust +\d+ +10 +4 [^]*^odd-string /m);
    },
  );
});

test("Configuration, stops and operators are written, shown and listed", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["none"] },
    async ({ store, run }) => {
      const pool = { name: "p", kind: "engine", models: ["m"] };
      const config = JSON.stringify({ pools: [pool] });
      assert.equal((await run(["config", "set", "-"], config)).code, 0);
      const shown = await run(["config", "get", "--json"]);
      assert.equal(JSON.parse(shown.output).value.drainTimeoutMs, 30_000);
      assert.match(
        (await run(["config", "list"])).output,
        /config +2 +p +powerOfTwo/,
      );

      const stop = await run(["stop", "set", "t1", "--reason", "new kernel"]);
      assert.match(stop.errors, /Warning: No agent is registered/);
      assert.match(
        (await run(["stop", "list"])).output,
        /t1 +3 +asha +new kernel/,
      );
      assert.equal((await run(["stop", "delete", "t1"])).code, 0);
      assert.equal(await store.get("stop", "t1"), undefined);

      const ravi = JSON.stringify({ name: "ravi", keyDigests: [] });
      assert.equal((await run(["operator", "set", "ravi", "-"], ravi)).code, 0);
      assert.match((await run(["operator", "list"])).output, /ravi +\d+ +0/);
    },
  );
});

test("The commands digest, help and version need no entry", async () => {
  const bare = { input: "0123456789abcdef\n", environment: {} };
  const digest = await runToolInProcess(runTool, { ...bare, args: ["digest"] });
  assert.equal(digest.output, `${digestKey("0123456789abcdef")}\n`);
  const help = await runToolInProcess(runTool, {
    ...bare,
    args: ["stop", "set", "--help"],
  });
  assert.match(help.output, /--reason +Why the target is to stop/);
  const version = await runToolInProcess(runTool, {
    ...bare,
    args: ["--version"],
  });
  assert.match(version.output, /^\d+\.\d+\.\d+\n$/);
});

test("The history of a request is printed in order from the logs of all processes", async () => {
  const line = (source: string, { time, id }: Record<string, string>) =>
    `12.3 vm-1 ${
      JSON.stringify({
        time,
        source,
        name: "attemptSent",
        text: `at ${source}`,
        fields: { requestId: id },
      })
    }`;
  const input = [
    line("entry-2", { time: "2026-12-03T10:00:02Z", id: "r1" }),
    "no JSON {",
    line("entry-1", { time: "2026-12-03T10:00:01Z", id: "r1" }),
    line("entry-1", { time: "2026-12-03T10:00:01Z", id: "r2" }),
  ].join("\n");
  const run = { input, environment: {}, args: ["explain", "r1"] };
  const { output } = await runToolInProcess(runTool, run);
  assert.equal(
    output,
    "2026-12-03T10:00:01Z  entry-1  at entry-1\n" +
      "2026-12-03T10:00:02Z  entry-2  at entry-2\n",
  );
  const none = await runToolInProcess(runTool, { ...run, input: "" });
  assert.match(none.errors, /Found no log line/);
});
