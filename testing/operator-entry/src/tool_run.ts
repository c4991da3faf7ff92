/** Runs a command-line tool in the current process and collects its output. */

export type ToolEnvironment = Readonly<Record<string, string>>;

interface TextSink {
  write(text: string): unknown;
}

/** The tool as a function of its process; resolves with the exit code. */
export type Tool = (toolProcess: {
  readonly args: readonly string[];
  readonly environment: ToolEnvironment;
  readonly input: AsyncIterable<string>;
  readonly output: TextSink;
  readonly errors: TextSink;
  readonly createChangeId: () => string;
}) => Promise<number>;

export interface ToolRunOptions {
  readonly args: readonly string[];
  readonly input?: string;
  readonly environment: ToolEnvironment;
}

/** The exit code and the output of one run. */
export interface ToolRun {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs the tool; the change id of each run is `change-1`. */
export async function runToolInProcess(
  tool: Tool,
  { args, input = "", environment }: ToolRunOptions,
): Promise<ToolRun> {
  const written = { output: "", errors: "" };
  const code = await tool({
    args,
    environment,
    input: toStream(input),
    output: { write: (text) => void (written.output += text) },
    errors: { write: (text) => void (written.errors += text) },
    createChangeId: () => "change-1",
  });
  return { code, ...written };
}

async function* toStream(text: string): AsyncGenerator<string> {
  await Promise.resolve();
  yield text;
}
