import { test } from "node:test";
import { FUZZ_TARGETS } from "./mod.ts";

for (const { name, run } of FUZZ_TARGETS) {
  test(`Malformed input is reported by the decoder of ${name}`, () => {
    run({ runs: 500, seed: 22 });
  });
}
