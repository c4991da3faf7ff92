/** Selects the adapter for a kind of target. */

import { HttpPool } from "@dandelionbank/open-http";
import type { TargetKind } from "@dandelionbank/types";
import { EngineAdapter } from "./engine_adapter.ts";
import { PlainAdapter } from "./plain_adapter.ts";
import type { TargetAdapter } from "./target_adapter.ts";

export function createTargetAdapter(
  kind: TargetKind,
  options: { readonly targetUrl: string },
): TargetAdapter {
  const pool = HttpPool.create({
    origin: options.targetUrl,
  });
  if (kind === "plain") return PlainAdapter.create(pool);
  return EngineAdapter.create(pool);
}
