import {
  EXAMPLE_CONTRACT,
  runToolInProcess,
  type ToolEnvironment,
  withOperatorEntries,
} from "@dandelionbank/operator-entry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EXIT_CODES, runTool } from "./mod.ts";

const SET_CONTRACT = ["contract", "set", "trust", "-"];
const CONTRACT_TEXT = JSON.stringify(EXAMPLE_CONTRACT);

test("A write conflict shows both sides and exits with 1", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["none"] },
    async ({ store, run }) => {
      const theirs = { ...EXAMPLE_CONTRACT, priority: 9 };
      store.seed({ kind: "contract", name: "trust" }, theirs);
      const args = [...SET_CONTRACT, "--revision", "new"];
      const conflict = await run(args, CONTRACT_TEXT);
      assert.equal(conflict.code, EXIT_CODES.refused);
      assert.match(
        conflict.errors,
        /Yours, to create an object:\n[^]*"priority": 5/,
      );
      assert.match(
        conflict.errors,
        /Current, contract trust, revision 2[^]*"priority": 9/,
      );
      assert.deepEqual((await store.get("contract", "trust"))?.value, theirs);

      const json = await run([...args, "--json"], CONTRACT_TEXT);
      const { current, yours, exitCode } = JSON.parse(json.output);
      assert.deepEqual([current.value, yours.value, exitCode], [
        theirs,
        EXAMPLE_CONTRACT,
        1,
      ]);

      const deletion = await run([
        "contract",
        "delete",
        "trust",
        "--revision",
        "1",
      ]);
      assert.equal(deletion.code, EXIT_CODES.refused);
      assert.match(deletion.errors, /Yours, from revision 1:\n {2}\(delete\)/);
    },
  );
});

test("A write whose answer is lost is retried with the next entry and done once", async () => {
  await withOperatorEntries({
    tool: runTool,
    faults: ["cutAfterEffect", "none"],
  }, async ({ store, run }) => {
    const set = await run(SET_CONTRACT, CONTRACT_TEXT);
    assert.equal(set.code, EXIT_CODES.done);
    assert.match(set.output, /revision 2, written by asha/);
    const deletion = await run(["contract", "delete", "trust"]);
    assert.equal(deletion.code, EXIT_CODES.done);
    assert.equal(await store.get("contract", "trust"), undefined);
  });
});

test("A write whose answer is lost is unsettled if another write follows it", async () => {
  await withOperatorEntries({
    tool: runTool,
    faults: ["cutAfterEffect", "none"],
  }, async ({ store, run }) => {
    const seeded = store.seed(
      { kind: "contract", name: "trust" },
      EXAMPLE_CONTRACT,
    );
    const put = store.put.bind(store);
    store.put = async (...args) => {
      const result = await put(...args);
      store.seed({ kind: "contract", name: "trust" }, EXAMPLE_CONTRACT);
      return result;
    };
    const revision = String(seeded.revision);
    const text = JSON.stringify({ ...EXAMPLE_CONTRACT, priority: 1 });
    const set = await run([...SET_CONTRACT, "--revision", revision], text);
    assert.equal(set.code, EXIT_CODES.unsettled);
    assert.match(set.errors, /^An earlier try may have taken effect/);
  });
});

test("A write whose answer every entry loses is unsettled until it is retried", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["cutAfterEffect"] },
    async ({ store, run }) => {
      const set = await run(SET_CONTRACT, CONTRACT_TEXT);
      assert.equal(set.code, EXIT_CODES.unsettled);
      assert.match(
        set.errors,
        /again with --revision new --change-id change-1$/m,
      );
      assert.equal(
        (await store.get("contract", "trust"))?.changeId,
        "asha/change-1",
      );
    },
  );
});

test("A call to an unresponsive entry times out, and a write is then unsettled", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["silent"] },
    async ({ run }) => {
      const quick = ["--timeout-ms", "20"];
      const status = await run(["status", ...quick]);
      assert.equal(status.code, EXIT_CODES.unreachable);
      assert.match(
        status.errors,
        /: The operation was aborted due to timeout$/m,
      );
      const args = ["stop", "delete", "t1", "--revision", "1", ...quick];
      const { code, errors } = await run(args);
      assert.equal(code, EXIT_CODES.unsettled);
      assert.match(errors, /Read the object before you try again/);
    },
  );
});

test("During an outage of the platform a write changes nothing and exits with 3", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["none"] },
    async ({ store, run }) => {
      const code = "DANDELIONBANK_PLATFORM_UNREACHABLE";
      store.failNext({ code, takesEffect: false });
      const args = [...SET_CONTRACT, "--revision", "new"];
      const set = await run(args, CONTRACT_TEXT);
      assert.equal(set.code, EXIT_CODES.unreachable);
      assert.match(set.errors, /nothing was changed/);
      store.failNext({
        code: "DANDELIONBANK_WRITE_UNSETTLED",
        takesEffect: true,
      });
      const unsettled = await run(args, CONTRACT_TEXT);
      assert.equal(unsettled.code, EXIT_CODES.unsettled);
      const again = await run(
        [...args, "--change-id", "change-1"],
        CONTRACT_TEXT,
      );
      assert.equal(again.code, EXIT_CODES.done);
    },
  );
});

test("Entries that do not answer are skipped", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["notAnEntry", "none"] },
    async ({ run }) => {
      const { code, output } = await run(["status"]);
      assert.equal(code, EXIT_CODES.done);
      assert.match(output, /^Entry e1 in kochi-1, version 0.1.0$/m);
      assert.match(output, /^Ready: no, no config$/m);
      assert.match(
        output,
        /^r3 +rank +drafting +g 3\/4 +kochi-2 +serving +2 +1$/m,
      );
    },
  );
  let environment: ToolEnvironment = {};
  await withOperatorEntries(
    { tool: runTool, faults: ["none"] },
    (entries) => Promise.resolve(void (environment = entries.environment)),
  );
  for (const args of [["status"], ["stop", "delete", "t", "--revision", "1"]]) {
    const { code, errors } = await runToolInProcess(runTool, {
      args,
      environment,
    });
    assert.equal(code, EXIT_CODES.unreachable);
    assert.match(
      errors,
      /nothing was changed[^]*127\.0\.0\.1:\d+: ECONNREFUSED/,
    );
  }
});
