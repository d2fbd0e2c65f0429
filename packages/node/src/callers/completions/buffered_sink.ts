import type { Failure } from "@foxtailwind/core";
import type { GenerationEnd } from "@foxtailwind/edges";
import { sendChatProblem } from "../problem.ts";
import { formatAdapter, toUsage } from "./chunk_encoder.ts";
import { CompletionSink } from "./completion_sink.ts";

const OK = 200;

/** Buffers an answer and sends it as one JSON body. */
export class BufferedCompletionSink extends CompletionSink {
  #text = "";

  protected override writeTokens(text: string, tokens: number): void {
    this.#text += text;
    this.options.onTokens(tokens);
  }

  protected override writeEnd(end: GenerationEnd): void {
    const { generation, reply } = this.options;
    void reply.status(OK).header("x-request-id", generation.request).send({
      id: generation.request,
      object: "chat.completion",
      created: this.created,
      model: formatAdapter(generation.adapter),
      choices: [{
        index: 0,
        message: { role: "assistant", content: this.#text, refusal: null },
        logprobs: null,
        finish_reason: end.finishReason,
      }],
      usage: toUsage(end),
    });
  }

  protected override writeFailure(failure: Failure): void {
    const { generation, reply } = this.options;
    sendChatProblem(reply, failure, generation.request);
  }
}
