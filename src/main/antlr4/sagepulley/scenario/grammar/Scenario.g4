/* Scenario scripts: nodes, gateways, loads, and faults with their times (docs/operate/drill.md). */
grammar Scenario;

day        : statement* EOF ;

statement  : 'day' TEXT                                   # named
           | 'seed' NUMBER                                # seed
           | 'gateways' NUMBER                            # gateways
           | 'nodes' NUMBER nodeTrait*                    # nodes
           | 'site' BLOCK                                 # site
           | 'site' TEXT                                  # siteNamed
           | 'load' WORD 'on' WORD NUMBER 'a' 'second' loadTrait*   # load
           | 'at' duration event ('for' duration)?        # at
           | 'end' 'at' duration                          # end
           | 'expect' 'service' 'of' WORD 'over' NUMBER '%'   # expect
           | 'expect' 'cause' 'of' WORD TEXT              # cause
           ;

nodeTrait  : 'slots' NUMBER                               # slots
           | 'queue' NUMBER                               # queue
           | 'read' duration                              # readCost
           | 'write' duration                             # writeCost
           | 'halls' NUMBER                               # halls
           | 'defer' NUMBER '%' 'each' duration           # defer
           ;

loadTrait  : 'reads' NUMBER '%'                           # reads
           | 'size' NUMBER UNIT                           # size
           | 'from' duration                              # from
           | 'to' duration                                # to
           | 'over' NUMBER 'extents'                      # extents
           | 'connections' NUMBER                         # connections
           | 'through' 'gateway' NUMBER                   # through
           ;

event      : target fault                                 # nodeEvent
           | 'directory' directoryFault                   # directoryEvent
           | 'gateway' NUMBER 'killed'                    # gatewayKilled
           | 'load' WORD 'times' NUMBER                   # surge
           ;

target     : ('node' | 'nodes') NUMBER (',' NUMBER)*      # nodeNumbers
           | 'hall' NUMBER                                # hall
           | 'all' 'nodes'                                # allNodes
           ;

fault      : 'silent' | 'paused' | 'refusing' | 'unreachable' | 'cut' | 'drains' | 'garbles'
           | 'restarts' 'cold' | 'loses' 'power' | 'gone'
           | 'slow' NUMBER 'times'
           | 'losing' NUMBER '%'
           | 'erring' NUMBER '%'
           ;

directoryFault : 'silent' | 'down' | 'failing' | 'lagging' duration | 'slow' duration ;

duration   : NUMBER ('ms' | 's' | 'min') ;

UNIT       : 'KiB' | 'MiB' ;
NUMBER     : [0-9]+ ('.' [0-9]+)? ;
WORD       : [a-zA-Z_] [a-zA-Z0-9_-]* ;
TEXT       : '"' ~["\r\n]* '"' ;
BLOCK      : '{{' .*? '}}' ;
COMMENT    : '#' ~[\r\n]* -> skip ;
SPACE      : [ \t\r\n]+ -> skip ;
