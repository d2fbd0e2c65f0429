import { COMMANDS, runCommandLine } from "@foxtailwind/cli";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";

const FILE_BLOCK = /<!-- file: (\S+) -->\s*```ini\n([\s\S]*?)```/g;
const SESSION_BLOCK = /```console\n([\s\S]*?)```/g;
const PROMPT = "$ ";

/** The node that a page's commands call. */
export interface PageContext {
  /** The address of the node. */
  readonly node: string;
  /** Waits until earlier commands' changes are in force at all nodes. */
  readonly waitUntilInForce: () => Promise<void>;
}

/**
 * Runs every command in a page's `console` blocks and replaces the outputs.
 * @param page The page's text.
 * @param context The node that the commands call.
 * @returns The page, with the outputs of this run.
 */
export async function runPage(
  page: string,
  context: PageContext,
): Promise<string> {
  const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-page-"));
  const files = new Map<string, string>();
  for (const [, name = "", text = ""] of page.matchAll(FILE_BLOCK)) {
    files.set(name, path.join(folder, name));
    writeFileSync(path.join(folder, name), text);
  }
  const shell = new ConsoleSession(context, files);
  let rendered = page;
  for (const [block, session = ""] of page.matchAll(SESSION_BLOCK)) {
    const output = await shell.run(session);
    rendered = rendered.replace(block, () => `\`\`\`console\n${output}\`\`\``);
  }
  rmSync(folder, { recursive: true });
  return rendered;
}

/**
 * Replaces UUIDs and ports, which differ between runs, by fixed texts of the
 * same length.
 * @param text An output, or a page with outputs.
 * @returns The normalised text.
 */
export function normalise(text: string): string {
  return text
    .replace(
      /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g,
      "00000000-0000-4000-8000-000000000000",
    )
    .replace(/127\.0\.0\.1:\d{5}/g, "127.0.0.1:40000");
}

class ConsoleSession {
  readonly #context: PageContext;
  readonly #files: ReadonlyMap<string, string>;
  #lastExitCode = 0;

  constructor(
    context: PageContext,
    files: ReadonlyMap<string, string>,
  ) {
    this.#context = context;
    this.#files = files;
  }

  async run(session: string): Promise<string> {
    let text = "";
    for (const line of session.split("\n")) {
      if (!line.startsWith(PROMPT)) continue;
      text += `${line}\n${await this.#runLine(line.slice(PROMPT.length))}`;
    }
    return text;
  }

  async #runLine(line: string): Promise<string> {
    if (line === "echo $?") return `${this.#lastExitCode}\n`;
    await this.#context.waitUntilInForce();
    const [, ...words] = line.trim().split(/\s+/);
    let written = "";
    const write = (text: string) => {
      written += text;
    };
    this.#lastExitCode = await runCommandLine(
      words.map((word) => this.#files.get(word) ?? word),
      {
        commands: COMMANDS,
        context: {
          environment: { FOXTAILWIND_NODE: this.#context.node },
          writeOut: write,
          writeError: write,
        },
      },
    );
    for (const [name, file] of this.#files) {
      written = written.replaceAll(file, name);
    }
    return written;
  }
}
