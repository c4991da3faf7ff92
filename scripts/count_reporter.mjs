/** Reporter for the test runner of Node.js that prints the counts at the end. */

export default async function* countTests(source) {
  const counts = { passed: 0, failed: 0, skipped: 0 };
  for await (const event of source) {
    if (event.type === "test:pass") countPass(counts, event.data);
    if (event.type === "test:fail") countFailure(counts, event.data);
  }
  yield `\n${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped\n`;
}

function countPass(counts, data) {
  if (data.details?.type === "suite") return;
  if (data.skip !== undefined) counts.skipped += 1;
  else counts.passed += 1;
}

function countFailure(counts, data) {
  if (data.details?.type !== "suite") counts.failed += 1;
}
