/** Sites that end with their test, and waits that are bounded. */

import { Site, type SiteOptions } from "@dandelionbank/run-site";
import type { TestContext } from "node:test";

const WAIT_LIMIT_MS = 15_000;
const POLL_MS = 20;

export async function startSite(
  context: TestContext,
  options: SiteOptions,
): Promise<Site> {
  const site = await Site.start(options);
  context.after(() => site.stop());
  return site;
}

/** Rejects, saying `what` was waited for, if it does not come true in time. */
export async function waitUntil(
  what: string,
  isTrue: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + WAIT_LIMIT_MS;
  while (!(await isTrue())) {
    if (performance.now() > deadlineMs) throw new Error(`Not in time: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
