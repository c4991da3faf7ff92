/** Runs one bench by its name; its last line is one JSON object. */

import { parseArgs } from "node:util";
import { judgeFigure } from "./bench.ts";
import type { JudgedFigure } from "./bench.ts";
import { BENCHES } from "./registry.ts";

function main(): number {
  const { positionals, values } = parseArgs({
    allowPositionals: true,
    options: {
      seed: { type: "string", default: "1" },
      json: { type: "boolean", default: false },
    },
  });
  const bench = BENCHES.find(({ name }) => name === positionals[0]);
  const seed = Number(values.seed);
  if (bench === undefined || !Number.isSafeInteger(seed)) {
    const names = BENCHES.map(({ name }) => name).join(", ");
    console.error(`Name one bench of ${names}; --seed is a whole number`);
    return 2;
  }
  const { figures, baselines } = bench.run(seed);
  const judged = figures.map(judgeFigure);
  if (!values.json) {
    for (const figure of judged) console.log(describeFigure(figure));
  }
  console.log(
    JSON.stringify({ bench: bench.name, seed, figures: judged, baselines }),
  );
  return 0;
}

function describeFigure(figure: JudgedFigure): string {
  const { name, value, unit, bound, boundKind, holds } = figure;
  if (bound === undefined) return `${name}: ${value} ${unit}`;
  const verdict = holds ? "holds" : "does not hold";
  return `${name}: ${value} ${unit} (at ${boundKind} ${bound}: ${verdict})`;
}

process.exitCode = main();
