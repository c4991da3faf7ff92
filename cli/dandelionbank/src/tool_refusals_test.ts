import { withOperatorEntries } from "@dandelionbank/operator-entry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { runTool } from "./mod.ts";

const SET_CONTRACT = ["contract", "set", "trust", "-"];

interface Refusal {
  readonly args: readonly string[];
  readonly input?: string;
  readonly code: number;
  readonly errors: RegExp;
}

const REFUSALS: readonly Refusal[] = [
  { args: [], code: 2, errors: /^Name a command/ },
  { args: ["contract"], code: 2, errors: /^Name a command of contract/ },
  { args: ["nonsense"], code: 2, errors: /Unknown argument: nonsense/ },
  { args: ["status", "--nope"], code: 2, errors: /Unknown argument: nope/ },
  { args: ["stop", "set", "t1"], code: 2, errors: /argument: reason/ },
  { args: ["config", "delete"], code: 2, errors: /Unknown/ },
  {
    args: SET_CONTRACT,
    input: "{",
    code: 2,
    errors: /^standard input: .*JSON/,
  },
  { args: ["config", "set", ""], code: 2, errors: /found an empty path/ },
  {
    args: ["contract", "set", "trust", "not/there"],
    code: 2,
    errors: /^not\/there: ENOENT/,
  },
  {
    args: [...SET_CONTRACT, "--revision", "0"],
    input: "{}",
    code: 2,
    errors: /^--revision: found "0", expected a number or new/,
  },
  {
    args: ["status", "--timeout-ms", "soon", "--key", ""],
    code: 2,
    errors:
      /--key: found a secret of 0 characters[^]*--timeout-ms: found "soon"/,
  },
  {
    args: ["digest"],
    input: "short\n",
    code: 2,
    errors: /key of 5 characters/,
  },
  { args: ["contract", "get", "no"], code: 1, errors: /no contract no/ },
  { args: ["contract", "delete", "no"], code: 1, errors: /no contract no/ },
  {
    args: ["status", "--key", "another-key-of-tests"],
    code: 1,
    errors: /refused: The call has no key of an operator/,
  },
  {
    args: SET_CONTRACT,
    input: '{"priority":10}',
    code: 1,
    errors: /does not parse.*\n[^]* {2}priority: found 10, expected a whole/,
  },
];

for (const { args, input, code, errors } of REFUSALS) {
  test(`"${args.join(" ")}" exits with ${code}`, async () => {
    await withOperatorEntries(
      { tool: runTool, faults: ["none"] },
      async ({ run }) => {
        const result = await run(args, input);
        assert.equal(result.code, code);
        assert.match(result.errors, errors);
        assert.equal(result.output, "");
      },
    );
  });
}

test("With --json, a refusal is printed as one JSON object", async () => {
  await withOperatorEntries(
    { tool: runTool, faults: ["none"] },
    async ({ run }) => {
      const { code, output } = await run([...SET_CONTRACT, "--json"], "{}");
      const report = JSON.parse(output);
      assert.equal(report.exitCode, code);
      assert.equal(report.error.code, "DANDELIONBANK_INVALID_VALUE");
      assert.equal(report.error.problems.length, 8);
    },
  );
});
