import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import type { ExitCode } from '../exitCodes.js'
import { formatTable } from '../table.js'
import { defineCommand } from '../types.js'
import type { Cli } from '../types.js'

interface OrderArguments {
  readonly service: string | undefined
  readonly endpoint: string | undefined
  readonly kind: keyof typeof FIELDS | undefined
  readonly name: string | undefined
}

interface OrderLine {
  readonly id: string
  readonly endpoint: string
  readonly action: { readonly kind: string }
  readonly state: string
  readonly detail: string
}

/** The action field that `--name` sets, by kind of order. */
const FIELDS = {
  'load-model': 'model', 'load-adapter': 'adapter', 'load-version': 'version', 'change-role': 'role'
} as const

const list = async (_args: OrderArguments, cli: Cli): Promise<ExitCode> => {
  const orders = await cli.client().request('GET', '/v1/orders')
  const lines = orders as unknown as readonly OrderLine[]
  cli.printResult(orders, () => lines.length === 0
    ? ['no orders']
    : formatTable(['id', 'endpoint', 'kind', 'state', 'detail'],
      lines.map((order) => [order.id, order.endpoint, order.action.kind, order.state, order.detail])))
  return EXIT_CODES.done
}

const give = async ({ service, endpoint, kind, name }: OrderArguments, cli: Cli): Promise<ExitCode> => {
  if (service === undefined || endpoint === undefined || kind === undefined || name === undefined) {
    throw new CliFailure('give --service, --endpoint, --kind and --name', EXIT_CODES.malformed)
  }
  const order = await cli.client().request('POST', '/v1/orders', { service, endpoint, action: { kind, [FIELDS[kind]]: name } })
  const { id, state, detail } = order as unknown as OrderLine
  cli.printResult(order, () => [`order ${id}: ${state} ${detail}`])
  return EXIT_CODES.done
}

const ACTIONS = { list, give } as const

/** Lists and issues orders to endpoints; each order has a fencing token. */
export const orders = defineCommand({
  command: 'orders <action>',
  describe: 'List orders to endpoints, or issue one',
  examples: [['$0 orders give --service assistant --endpoint assistant-1 --kind load-version --name v2', 'Load a version']],
  builder: (argv) => argv
    .positional('action', { choices: ['list', 'give'] as const, demandOption: true, describe: 'list or give' })
    .option('service', { type: 'string', describe: 'The service' })
    .option('endpoint', { type: 'string', describe: 'The endpoint' })
    .option('kind', { choices: Object.keys(FIELDS) as ReadonlyArray<keyof typeof FIELDS>, describe: 'The kind of order' })
    .option('name', { type: 'string', describe: 'The model, adapter, version or role' }),
  run: async (args, cli) => await ACTIONS[args.action](args, cli)
})
