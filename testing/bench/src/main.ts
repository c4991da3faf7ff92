/** Runs the bench named on the command line and prints its figures. */

import { parseArgs } from "node:util";
import type { BenchReport, Figure } from "./bench.ts";
import { BENCHES } from "./registry.ts";

async function main(): Promise<number> {
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
    console.error(
      `Give the name of a bench: ${names}; --seed takes an integer`,
    );
    return 2;
  }
  const report = await bench.run({ seed });
  if (!values.json) printTable(report);
  console.log(JSON.stringify({ bench: bench.name, seed, ...report }));
  return 0;
}

function printTable(report: BenchReport): void {
  for (const figure of report.figures) console.log(formatFigure(figure));
  for (const [name, value] of Object.entries(report.baselines)) {
    console.log(`  baseline ${name}: ${value}`);
  }
}

function formatFigure(figure: Figure): string {
  const { name, value, unit, bound, holds } = figure;
  const verdict = holds === undefined
    ? ""
    : holds
    ? " holds"
    : " DOES NOT HOLD";
  return `  ${name}: ${value} ${unit} ${bound}${verdict}`;
}

process.exitCode = await main();
